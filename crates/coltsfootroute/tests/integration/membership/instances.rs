//! Late and reordered heartbeats of the upstreams of one host.

use coltsfootroute::membership::{
    HeartbeatVerdict, InstanceIncarnation, InstanceName, InstanceTracker, StartTime,
};

/// Creates an incarnation of an upstream that does not report its start time.
fn without_start(text: &str) -> InstanceIncarnation {
    InstanceIncarnation::new(InstanceName::new(text))
}

fn with_start(text: &str, started: u64) -> InstanceIncarnation {
    without_start(text).with_started(Some(StartTime(started)))
}

#[test]
fn a_late_heartbeat_of_the_same_incarnation_is_stale() {
    let mut tracker = InstanceTracker::new();
    tracker.note_heartbeat(&without_start("a"), 5);

    let late = tracker.note_heartbeat(&without_start("a"), 4);
    let again = tracker.note_heartbeat(&without_start("a"), 5);
    let next = tracker.note_heartbeat(&without_start("a"), 6);

    assert_eq!(late, HeartbeatVerdict::Stale);
    assert_eq!(again, HeartbeatVerdict::Stale);
    assert_eq!(next, HeartbeatVerdict::Fresh);
}

#[test]
fn an_instance_that_has_left_never_returns() {
    let mut tracker = InstanceTracker::new();
    tracker.note_heartbeat(&without_start("a"), 1);

    let was_present = tracker.leave(&without_start("a"));

    assert!(was_present);
    assert_eq!(tracker.note_heartbeat(&without_start("a"), 9), HeartbeatVerdict::Departed);
    assert_eq!(tracker.current(), None);
}

#[test]
fn a_new_instance_replaces_the_old_one_permanently() {
    let mut tracker = InstanceTracker::new();
    tracker.note_heartbeat(&without_start("a"), 1);

    let fresh = tracker.note_heartbeat(&without_start("b"), 1);

    assert_eq!(fresh, HeartbeatVerdict::Fresh);
    assert_eq!(tracker.note_heartbeat(&without_start("a"), 2), HeartbeatVerdict::Departed);
    assert!(!tracker.leave(&without_start("a")), "a replaced instance is not the current one");
    assert_eq!(tracker.current(), Some(&without_start("b")));
}

#[test]
fn a_heartbeat_after_the_leave_of_its_instance_is_rejected() {
    let mut tracker = InstanceTracker::new();

    let was_present = tracker.leave(&without_start("a"));

    assert!(!was_present);
    assert_eq!(tracker.note_heartbeat(&without_start("a"), 1), HeartbeatVerdict::Departed);
}

#[test]
fn an_upstream_that_restarts_under_its_name_is_a_new_incarnation() {
    let mut tracker = InstanceTracker::new();
    tracker.note_heartbeat(&with_start("a", 1_000), 40);

    let restarted = tracker.note_heartbeat(&with_start("a", 2_000), 1);
    let late = tracker.note_heartbeat(&with_start("a", 1_000), 41);

    assert_eq!(restarted, HeartbeatVerdict::Fresh);
    assert_eq!(late, HeartbeatVerdict::Departed);
    assert_eq!(tracker.current(), Some(&with_start("a", 2_000)));
}

#[test]
fn an_upstream_that_has_left_may_restart_under_its_name() {
    let mut tracker = InstanceTracker::new();
    tracker.note_heartbeat(&with_start("a", 1_000), 3);
    tracker.leave(&with_start("a", 1_000));

    let late = tracker.note_heartbeat(&with_start("a", 1_000), 4);
    let restarted = tracker.note_heartbeat(&with_start("a", 2_000), 1);

    assert_eq!((late, restarted), (HeartbeatVerdict::Departed, HeartbeatVerdict::Fresh));
}

/// A network partition may delay a heartbeat until its sender has crashed and another upstream has its address.
#[test]
fn a_late_heartbeat_of_an_unknown_earlier_incarnation_is_rejected() {
    let mut tracker = InstanceTracker::new();
    tracker.note_heartbeat(&with_start("b", 2_000), 1);

    let late = tracker.note_heartbeat(&with_start("a", 1_000), 7);

    assert_eq!(late, HeartbeatVerdict::Departed);
    assert_eq!(tracker.current(), Some(&with_start("b", 2_000)));
}

#[test]
fn a_leave_of_the_previous_incarnation_does_not_end_the_current_one() {
    let mut tracker = InstanceTracker::new();
    tracker.note_heartbeat(&with_start("a", 2_000), 1);

    let was_present = tracker.leave(&with_start("a", 1_000));

    assert!(!was_present);
    assert_eq!(tracker.note_heartbeat(&with_start("a", 2_000), 2), HeartbeatVerdict::Fresh);
}

/// The wall clock may be set back between two starts.
#[test]
fn an_incarnation_that_looks_older_replaces_a_silent_one() {
    let mut tracker = InstanceTracker::new();
    tracker.note_heartbeat(&with_start("a", 9_000), 5);

    let before = tracker.note_heartbeat(&with_start("b", 4_000), 1);
    tracker.note_silence();
    let after = tracker.note_heartbeat(&with_start("b", 4_000), 2);

    assert_eq!((before, after), (HeartbeatVerdict::Departed, HeartbeatVerdict::Fresh));
}
