//! Behaviour of the upstream.

use coltsfoot_standin::upstream::{ControlCommand, HealthMode};
use rstest::rstest;

use crate::util::{Reply, call, runtime, settings, start, wait_for};

/// Makes a run last until its caller goes away.
const ENDLESS: ControlCommand = ControlCommand {
    slow_factor: Some(1e7),
    fail_ratio: None,
    shed: None,
    health: None,
    cut_answers: None,
};

fn assert_not_run(reply: Option<Reply>) {
    let reply = reply.expect("a whole answer");
    assert_eq!((reply.status, reply.outcome.as_str()), (503, "not-run"));
}

#[test]
fn full_slots_and_queue_shed_without_a_run() {
    let mut settings = settings();
    (settings.slots, settings.max_waiting) = (Some(1), 1);
    let upstream = start(settings);
    upstream.control(ENDLESS);
    let address = upstream.address();
    let runtime = runtime();
    let running = runtime.spawn(call(address, "lookup", &[]));
    wait_for(&upstream, |counts| counts.running == 1);
    let waiting = runtime.spawn(call(address, "lookup", &[]));
    wait_for(&upstream, |counts| counts.queued == 1);

    let reply = runtime.block_on(call(address, "lookup", &[]));

    assert_not_run(reply);
    assert_eq!((upstream.counts().runs, upstream.counts().shed), (1, 1));
    waiting.abort();
    wait_for(&upstream, |counts| counts.queued == 0);
    running.abort();
    wait_for(&upstream, |counts| counts.cancelled == 1);
    assert_eq!(upstream.stop().running, 0);
}

#[test]
fn sheds_on_command() {
    let upstream = start(settings());
    upstream.control(ControlCommand { shed: Some(true), ..ControlCommand::default() });

    let reply = runtime().block_on(call(upstream.address(), "lookup", &[]));

    assert_not_run(reply);
    assert_eq!(upstream.stop().runs, 0);
}

#[test]
fn cut_answer_never_looks_complete() {
    let upstream = start(settings());
    upstream.control(ControlCommand { cut_answers: Some(1.0), ..ControlCommand::default() });

    let reply = runtime().block_on(call(upstream.address(), "lookup", &[]));

    assert_eq!(reply, None);
    assert_eq!(upstream.stop().runs, 1);
}

#[test]
fn failure_on_command_is_unknown() {
    let upstream = start(settings());
    upstream.control(ControlCommand { fail_ratio: Some(1.0), ..ControlCommand::default() });

    let reply = runtime().block_on(call(upstream.address(), "lookup", &[])).expect("an answer");

    assert_eq!((reply.status, reply.outcome.as_str()), (500, "unknown"));
    assert_eq!(upstream.stop().failed, 1);
}

#[rstest]
#[case::non_repeatable("reserve", 2, vec!["key-1".to_owned()])]
#[case::repeatable("lookup", 0, Vec::new())]
fn counts_runs_of_each_key(
    #[case] operation: &str,
    #[case] max_runs_per_key: u32,
    #[case] double_runs: Vec<String>,
) {
    let upstream = start(settings());
    let runtime = runtime();
    for key in ["key-1", "key-2", "key-1"] {
        let headers = [("idempotency-key", key)];
        runtime.block_on(call(upstream.address(), operation, &headers)).expect("an answer");
    }

    let counts = upstream.stop();

    assert_eq!(counts.runs, 3);
    assert_eq!(counts.max_runs_per_key, max_runs_per_key);
    assert_eq!(counts.double_runs, double_runs);
}

#[test]
fn deadline_stops_the_run() {
    let upstream = start(settings());
    upstream.control(ENDLESS);
    let headers = [("coltsfoot-deadline-ms", "30")];

    let reply = runtime().block_on(call(upstream.address(), "lookup", &headers));

    let reply = reply.expect("an answer");
    assert_eq!((reply.status, reply.outcome.as_str()), (504, "unknown"));
    assert_eq!(upstream.stop().cancelled, 1);
}

#[test]
fn stop_finishes_what_runs() {
    let upstream = start(settings());
    let slow = ControlCommand { slow_factor: Some(300.0), ..ControlCommand::default() };
    upstream.control(slow);
    let runtime = runtime();
    let running = runtime.spawn(call(upstream.address(), "lookup", &[]));
    wait_for(&upstream, |counts| counts.running == 1);

    let counts = upstream.stop();

    let reply = runtime.block_on(running).expect("no panic").expect("a whole answer");
    assert_eq!(reply.outcome, "completed");
    assert_eq!((counts.completed, counts.cancelled), (1, 0));
}

#[test]
fn commands_are_read_as_documented() {
    let text = r#"{"slow_factor": 2, "shed": false, "health": "lies"}"#;

    let command: ControlCommand = serde_json::from_str(text).expect("a command");

    assert_eq!((command.slow_factor, command.fail_ratio), (Some(2.0), None));
    assert_eq!((command.shed, command.health), (Some(false), Some(HealthMode::Lies)));
    assert!(serde_json::from_str::<ControlCommand>(r#"{"slowness": 2}"#).is_err());
}

#[test]
fn a_call_that_is_to_end_it_takes_all_others_with_it() {
    let mut settings = settings();
    settings.ends_on = Some("crates".to_owned());
    let upstream = start(settings);
    let (address, runtime) = (upstream.address(), runtime());

    let fatal = runtime.block_on(call(address, "lookup", &[]));

    assert_eq!(fatal, None);
    wait_for(&upstream, |_| upstream.has_ended());
    assert_eq!(runtime.block_on(call(address, "lookup", &[])), None);
}

#[test]
fn a_call_without_the_text_does_not_end_it() {
    let mut settings = settings();
    settings.ends_on = Some("another text".to_owned());
    let upstream = start(settings);

    let reply = runtime().block_on(call(upstream.address(), "lookup", &[]));

    assert_eq!(reply.map(|reply| reply.status), Some(200));
    assert_eq!(upstream.stop().runs, 1);
}
