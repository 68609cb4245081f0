//! The events of running nodes, and their order over hosts.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use coltsfoot_standin::{
    table::{TableServer, TableSettings},
    upstream::ControlCommand,
};
use coltsfootroute::{
    event::{DenialReason, EventKind, EventRecord, HybridStamp},
    outcome::CallOutcome,
};

use crate::util::{fake_peer::call_with_stamp, solo_node::SoloNode};

/// How far the stand-in's clock is ahead: less than what a node takes for a wrong clock.
const AHEAD: Duration = Duration::from_secs(3);
/// Further ahead than a node follows.
const TOO_FAR: Duration = Duration::from_secs(60);

fn stamp_ahead(ahead: Duration) -> HybridStamp {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap() + ahead;
    HybridStamp::new(now.as_millis() as u64, 0)
}

fn stamp_of(records: &[EventRecord], name: &str) -> HybridStamp {
    let record = records.iter().find(|record| record.kind.name() == name);
    record.unwrap_or_else(|| panic!("no {name} in {records:?}")).stamp
}

#[test]
fn what_a_message_causes_is_ordered_after_it() {
    let table = TableServer::start(&TableSettings::default()).unwrap();
    let node = SoloNode::start(table.address(), &[], "", "");
    let stamp = stamp_ahead(AHEAD);

    let reply = call_with_stamp(node.addresses.peer, stamp);
    let announcement = r#"{"service":"stock","address":"127.0.0.1:9","slots":1,"connections":1}"#;
    node.host_call("PUT", "/upstream", &[], announcement);

    assert!(reply.stamp > stamp, "{} {stamp}", reply.stamp);
    assert!(stamp_of(&node.events(), "upstream-announced") > reply.stamp);
    assert!(stamp_of(&node.events(), "started") < stamp);
    node.stop();
}

#[test]
fn a_clock_that_is_far_ahead_is_not_followed() {
    let table = TableServer::start(&TableSettings::default()).unwrap();
    let node = SoloNode::start(table.address(), &[], "", "");
    let stamp = stamp_ahead(TOO_FAR);

    let reply = call_with_stamp(node.addresses.peer, stamp);

    assert!(reply.stamp < stamp, "{} {stamp}", reply.stamp);
    node.stop();
}

#[test]
fn a_call_over_two_hosts_is_ordered_by_cause_though_their_clocks_differ() {
    let table = TableServer::start(&TableSettings::default()).unwrap();
    let entry = SoloNode::start(table.address(), &[], "", "");
    let guard = SoloNode::start(table.address(), &[entry.addresses.peer], "", "");
    entry.configure();
    let upstream = guard.start_upstream();
    entry.await_member(guard.addresses.peer);
    guard.await_event(|record| (record.kind.name() == "revision-in-force").then_some(()));
    let ahead = stamp_ahead(AHEAD);
    call_with_stamp(guard.addresses.peer, ahead);

    let answer = entry.call();

    assert_eq!(answer.status, 200, "{}", answer.body);
    let called = entry.events();
    let started = stamp_of(&called, "attempt-started");
    let finished = stamp_of(&called, "attempt-finished");
    let request = called.iter().find_map(|record| record.request()).unwrap();
    let guarded = guard.events();
    let admitted = guarded.iter().find(|record| record.request() == Some(request)).unwrap();
    assert_eq!(admitted.kind.name(), "request-admitted");
    assert!(started < ahead && ahead < admitted.stamp && admitted.stamp < finished);
    upstream.stop();
    guard.stop();
    entry.await_event(|record| (record.kind.name() == "member-left").then_some(()));
    entry.stop();
}

#[test]
fn attempts_and_retries_are_reported() {
    let table = TableServer::start(&TableSettings::default()).unwrap();
    let node = SoloNode::start(table.address(), &[], "", "");
    node.configure();
    let upstream = node.start_upstream();
    node.await_event(|record| (record.kind.name() == "upstream-announced").then_some(()));
    upstream.control(ControlCommand { fail_ratio: Some(1.0), ..ControlCommand::default() });

    node.call();

    let kinds: Vec<EventKind> = node
        .events()
        .into_iter()
        .filter(|record| record.request().is_some())
        .map(|record| record.kind)
        .filter(|kind| kind.name() != "request-admitted")
        .collect();
    let [first, first_answer, first_end, granted, second, second_answer, second_end, denied, end] =
        &kinds[..]
    else {
        panic!("{kinds:?}")
    };
    assert!(matches!(first, EventKind::AttemptStarted { attempt: 1, .. }), "{first:?}");
    for (end, number) in [(first_end, 1), (second_end, 2)] {
        let EventKind::AttemptFinished { attempt, outcome, .. } = end else { panic!("{end:?}") };
        assert_eq!((*attempt, *outcome), (number, CallOutcome::Unknown));
    }
    for answer in [first_answer, second_answer] {
        assert!(matches!(answer, EventKind::UpstreamCallAnswered { .. }), "{answer:?}");
    }
    assert!(matches!(granted, EventKind::RetryGranted { remaining: 0, .. }), "{granted:?}");
    assert!(matches!(second, EventKind::AttemptStarted { attempt: 2, .. }), "{second:?}");
    let exhausted = DenialReason::Exhausted;
    assert!(matches!(denied, EventKind::RetryDenied { reason, .. } if *reason == exhausted));
    assert!(matches!(end, EventKind::RequestUnknown { .. }), "{end:?}");
    upstream.stop();
    node.stop();
}
