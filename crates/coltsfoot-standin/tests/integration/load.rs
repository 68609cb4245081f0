//! The load client against upstreams.

use std::{net::SocketAddr, time::Duration};

use coltsfoot_standin::{
    load::{IntervalRecord, LoadReport, LoadRunner, LoadSettings, OfferedOperation, RetryPolicy},
    upstream::ControlCommand,
};
use coltsfootroute::importance::Importance;
use tokio::sync::watch;

use crate::util::{runtime, schema, settings, start};

fn load(targets: Vec<SocketAddr>, operation: &str) -> LoadSettings {
    let operation = OfferedOperation::from_schema(&schema(), operation, 200.0);
    let operations = vec![operation.expect("a client operation")];
    let mut load = LoadSettings::new(targets, operations, Duration::from_millis(500), 1);
    load.interval = Duration::from_millis(100);
    load
}

fn run(settings: LoadSettings) -> (Vec<IntervalRecord>, LoadReport) {
    let (_stop, stopped) = watch::channel(false);
    let mut records = Vec::new();
    let runner = LoadRunner::new(settings).expect("no key log");
    let emit = |record: &IntervalRecord| records.push(record.clone());
    let report = runtime().block_on(runner.run(emit, stopped));
    (records, report)
}

#[test]
fn completed_requests_add_up() {
    let upstream = start(settings());

    let (records, report) = run(load(vec![upstream.address()], "stock/reserve"));

    assert!(report.offered > 50, "{report:?}");
    assert_eq!(report.completed, report.offered);
    assert_eq!(records.iter().map(|record| record.offered).sum::<u64>(), report.offered);
    assert_eq!(records.iter().map(|record| record.completed).sum::<u64>(), report.completed);
    let counts = upstream.stop();
    assert_eq!((counts.runs, counts.max_runs_per_key), (report.offered, 1));
}

#[test]
fn focus_counts_what_was_due_in_it() {
    let upstream = start(settings());
    let mut whole = load(vec![upstream.address()], "stock/lookup");
    whole.focus = Some("0:500".parse().expect("a window"));
    let mut none = load(vec![upstream.address()], "stock/lookup");
    none.focus = Some("500:900".parse().expect("a window"));

    let (_, whole) = run(whole);
    let (_, none) = run(none);

    assert_eq!(whole.focus_by_importance, whole.by_importance);
    assert!(none.focus_by_importance.is_empty());
    upstream.stop();
}

#[test]
fn hard_retrying_clients_use_up_their_attempts() {
    let upstream = start(settings());
    upstream.control(ControlCommand { shed: Some(true), ..ControlCommand::default() });
    let mut load = load(vec![upstream.address()], "stock/lookup");
    load.retry = RetryPolicy { max_retries: 2, respect_retry_after: false };

    let (_, report) = run(load);

    assert_eq!(report.refused_not_run, report.offered);
    assert_eq!(report.attempts, 3 * report.offered);
    assert_eq!(report.refusals[&Importance::Normal]["overload"], report.attempts);
    assert_eq!(upstream.stop().runs, 0);
}

#[test]
fn cut_answers_are_interrupted_and_unknown() {
    let upstream = start(settings());
    upstream.control(ControlCommand { cut_answers: Some(1.0), ..ControlCommand::default() });

    let (_, report) = run(load(vec![upstream.address()], "stock/lookup"));

    assert_eq!((report.completed, report.unknown), (0, report.offered));
    assert_eq!(report.interrupted, report.offered);
    upstream.stop();
}

#[test]
fn target_without_a_listener_is_passed_over() {
    let upstream = start(settings());
    let gone = start(settings());
    let gone_address = gone.address();
    gone.stop();

    let (_, report) = run(load(vec![gone_address, upstream.address()], "stock/lookup"));

    assert_eq!((report.completed, report.interrupted), (report.offered, 0));
    upstream.stop();
}
