//! Metrics: names and labels are stable, values arrive where they belong.

use std::{sync::Arc, time::Duration};

use coltsfoot_node::metrics::{
    ControlKind, DutyMeter, MemberState, NodeDuty, NodeMetrics, StoreResult, TrafficDirection,
};
use coltsfootroute::{
    event::{ClaimOutcome, DenialReason},
    importance::Importance,
    outcome::{CallOutcome, RefusalReason},
    table::StoreUse,
};

/// Every metric and its type, sorted. Dashboards and alarms rely on these: a change goes into
/// CHANGELOG.md and docs/operators/metrics.md.
const NAMES: &str = include_str!("metric_names.txt");

fn metrics() -> NodeMetrics {
    NodeMetrics::new().unwrap()
}

fn has_line(metrics: &NodeMetrics, line: &str) -> bool {
    metrics.render().unwrap().lines().any(|shown| shown == line)
}

#[test]
fn names_and_types_are_stable() {
    let metrics = metrics();
    metrics.requests.refused(RefusalReason::Overload, Importance::Low);

    let text = metrics.render().unwrap();

    let mut shown: Vec<&str> =
        text.lines().filter_map(|line| line.strip_prefix("# TYPE ")).collect();
    shown.sort_unstable();
    assert_eq!(shown, NAMES.lines().collect::<Vec<_>>());
}

#[test]
fn each_metric_is_on_the_operators_page() {
    let page = include_str!("../../../../docs/operators/metrics.md");

    let missing: Vec<&str> = NAMES
        .lines()
        .filter_map(|line| line.split(' ').next())
        .filter(|name| !page.contains(&format!("`{name}`")))
        .collect();

    assert!(missing.is_empty(), "{missing:?}");
}

#[test]
fn counts_carry_their_labels() {
    let metrics = metrics();

    metrics.requests.admitted(Importance::Critical);
    metrics.requests.refused(RefusalReason::NoUpstream, Importance::Background);
    metrics.requests.answered(CallOutcome::NotRun);
    metrics.retries.denied(DenialReason::Exhausted);
    metrics.store.claimed(ClaimOutcome::Replayed);
    metrics.store.requested(StoreUse::Claim, StoreResult::TimedOut);
    metrics.control.add_bytes(ControlKind::Gossip, TrafficDirection::Sent, 40);
    metrics.control.set_members(MemberState::Suspect, 2);

    let lines = [
        r#"coltsfoot_requests_admitted_total{importance="critical"} 1"#,
        r#"coltsfoot_requests_refused_total{importance="background",reason="no-upstream"} 1"#,
        r#"coltsfoot_requests_answered_total{outcome="not-run"} 1"#,
        r#"coltsfoot_retries_denied_total{reason="exhausted"} 1"#,
        r#"coltsfoot_claims_total{outcome="replayed"} 1"#,
        r#"coltsfoot_store_requests_total{result="timed-out",use="claim"} 1"#,
        r#"coltsfoot_control_bytes_total{direction="sent",kind="gossip"} 40"#,
        r#"coltsfoot_members{state="suspect"} 2"#,
    ];
    for line in lines {
        assert!(has_line(&metrics, line), "{line}");
    }
}

#[test]
fn the_most_retries_of_a_request_are_kept() {
    let metrics = metrics();

    for taken in [1, 3, 2] {
        metrics.retries.granted(taken);
    }

    assert!(has_line(&metrics, "coltsfoot_request_retries_max 3"));
    assert!(has_line(&metrics, "coltsfoot_retries_granted_total 3"));
}

#[test]
fn totals_read_elsewhere_never_fall() {
    let metrics = Arc::new(metrics());
    let mut meter = DutyMeter::new(metrics.clone(), NodeDuty::Gossip);

    for dropped in [2, 5, 4] {
        metrics.process.set_events_dropped(dropped);
    }
    for millis in [1_500, 500] {
        meter.note(Duration::from_millis(millis));
    }

    assert!(has_line(&metrics, "coltsfoot_events_dropped_total 5"));
    assert!(has_line(&metrics, r#"coltsfoot_duty_processor_seconds_total{duty="gossip"} 1.5"#));
}

#[test]
fn the_threads_of_a_duty_add_up() {
    let metrics = Arc::new(metrics());

    for millis in [500, 250] {
        let mut meter = DutyMeter::new(metrics.clone(), NodeDuty::Http);
        meter.note(Duration::from_millis(millis));
    }

    assert!(has_line(&metrics, r#"coltsfoot_duty_processor_seconds_total{duty="http"} 0.75"#));
}

#[test]
fn latencies_fall_into_their_bucket() {
    let metrics = metrics();

    metrics.requests.added_latency(Duration::from_micros(1_300));

    assert!(has_line(&metrics, r#"coltsfoot_added_latency_seconds_bucket{le="0.001"} 0"#));
    assert!(has_line(&metrics, r#"coltsfoot_added_latency_seconds_bucket{le="0.0013"} 1"#));
}
