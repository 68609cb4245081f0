//! Late and reordered heartbeats of the upstreams of one host.

use std::time::Duration;

use coltsfootroute::{
    membership::{HeartbeatVerdict, InstanceIncarnation, InstanceName, InstanceTracker, StartTime},
    time::MonotonicTime,
};
use rstest::rstest;

/// Time of all messages, unless a test tells another.
const NOW: MonotonicTime = MonotonicTime::ZERO;

/// Creates an incarnation of an upstream that does not report its start time.
fn without_start(text: &str) -> InstanceIncarnation {
    InstanceIncarnation::new(InstanceName::new(text))
}

fn with_start(text: &str, started: u64) -> InstanceIncarnation {
    without_start(text).with_started(Some(StartTime(started)))
}

/// Creates a tracker of an upstream that restarted under its name, and left.
fn left_after_a_restart() -> InstanceTracker {
    let mut tracker = InstanceTracker::new();
    tracker.note_heartbeat(&with_start("a", 1_000), 5, NOW);
    tracker.note_heartbeat(&with_start("a", 2_000), 1, NOW);
    tracker.leave(&without_start("a"), NOW);
    tracker
}

#[test]
fn a_late_heartbeat_of_the_same_incarnation_is_stale() {
    let mut tracker = InstanceTracker::new();
    tracker.note_heartbeat(&without_start("a"), 5, NOW);

    let late = tracker.note_heartbeat(&without_start("a"), 4, NOW);
    let again = tracker.note_heartbeat(&without_start("a"), 5, NOW);
    let next = tracker.note_heartbeat(&without_start("a"), 6, NOW);

    assert_eq!(late, HeartbeatVerdict::Stale);
    assert_eq!(again, HeartbeatVerdict::Stale);
    assert_eq!(next, HeartbeatVerdict::Fresh);
}

#[test]
fn an_instance_that_has_left_never_returns() {
    let mut tracker = InstanceTracker::new();
    tracker.note_heartbeat(&without_start("a"), 1, NOW);

    let was_present = tracker.leave(&without_start("a"), NOW);

    assert!(was_present);
    assert_eq!(tracker.note_heartbeat(&without_start("a"), 9, NOW), HeartbeatVerdict::Departed);
    assert_eq!(tracker.current(), None);
}

#[test]
fn a_new_instance_replaces_the_old_one_permanently() {
    let mut tracker = InstanceTracker::new();
    tracker.note_heartbeat(&without_start("a"), 1, NOW);

    let fresh = tracker.note_heartbeat(&without_start("b"), 1, NOW);

    assert_eq!(fresh, HeartbeatVerdict::Fresh);
    assert_eq!(tracker.note_heartbeat(&without_start("a"), 2, NOW), HeartbeatVerdict::Departed);
    assert!(!tracker.leave(&without_start("a"), NOW), "a replaced instance is not the current one");
    assert_eq!(tracker.current(), Some(&without_start("b")));
}

#[test]
fn a_heartbeat_after_the_leave_of_its_instance_is_rejected() {
    let mut tracker = InstanceTracker::new();

    let was_present = tracker.leave(&without_start("a"), NOW);

    assert!(!was_present);
    assert_eq!(tracker.note_heartbeat(&without_start("a"), 1, NOW), HeartbeatVerdict::Departed);
}

#[test]
fn an_upstream_that_restarts_under_its_name_is_a_new_incarnation() {
    let mut tracker = InstanceTracker::new();
    tracker.note_heartbeat(&with_start("a", 1_000), 40, NOW);

    let restarted = tracker.note_heartbeat(&with_start("a", 2_000), 1, NOW);
    let late = tracker.note_heartbeat(&with_start("a", 1_000), 41, NOW);

    assert_eq!(restarted, HeartbeatVerdict::Fresh);
    assert_eq!(late, HeartbeatVerdict::Departed);
    assert_eq!(tracker.current(), Some(&with_start("a", 2_000)));
}

#[test]
fn an_upstream_that_has_left_may_restart_under_its_name() {
    let mut tracker = InstanceTracker::new();
    tracker.note_heartbeat(&with_start("a", 1_000), 3, NOW);
    tracker.leave(&with_start("a", 1_000), NOW);

    let late = tracker.note_heartbeat(&with_start("a", 1_000), 4, NOW);
    let restarted = tracker.note_heartbeat(&with_start("a", 2_000), 1, NOW);

    assert_eq!((late, restarted), (HeartbeatVerdict::Departed, HeartbeatVerdict::Fresh));
}

/// A network partition may delay a heartbeat until its sender has crashed and another upstream has its address.
#[test]
fn a_late_heartbeat_of_an_unknown_earlier_incarnation_is_rejected() {
    let mut tracker = InstanceTracker::new();
    tracker.note_heartbeat(&with_start("b", 2_000), 1, NOW);

    let late = tracker.note_heartbeat(&with_start("a", 1_000), 7, NOW);

    assert_eq!(late, HeartbeatVerdict::Departed);
    assert_eq!(tracker.current(), Some(&with_start("b", 2_000)));
}

#[test]
fn a_leave_of_the_previous_incarnation_does_not_end_the_current_one() {
    let mut tracker = InstanceTracker::new();
    tracker.note_heartbeat(&with_start("a", 2_000), 1, NOW);

    let was_present = tracker.leave(&with_start("a", 1_000), NOW);

    assert!(!was_present);
    assert_eq!(tracker.note_heartbeat(&with_start("a", 2_000), 2, NOW), HeartbeatVerdict::Fresh);
}

/// The wall clock may be set back between two starts.
#[test]
fn an_incarnation_that_looks_older_replaces_a_silent_one() {
    let mut tracker = InstanceTracker::new();
    tracker.note_heartbeat(&with_start("a", 9_000), 5, NOW);

    let before = tracker.note_heartbeat(&with_start("b", 4_000), 1, NOW);
    tracker.note_silence();
    let after = tracker.note_heartbeat(&with_start("b", 4_000), 2, NOW);

    assert_eq!((before, after), (HeartbeatVerdict::Departed, HeartbeatVerdict::Fresh));
}

/// Seen: a leave that was acknowledged and not kept, since the clock had gone back behind the start of the upstream.
#[test]
fn a_leave_without_a_start_time_is_of_the_current_incarnation() {
    let mut tracker = InstanceTracker::new();
    tracker.note_heartbeat(&with_start("a", u64::MAX), 1, NOW);

    let was_present = tracker.leave(&without_start("a"), NOW);

    assert!(was_present);
    assert_eq!(tracker.identify(&without_start("a")), with_start("a", u64::MAX));
    let late = tracker.note_heartbeat(&with_start("a", u64::MAX), 2, NOW);
    assert_eq!(late, HeartbeatVerdict::Departed);
}

/// What starts under a name again is a new incarnation, whichever way the clock went meanwhile.
#[rstest]
#[case::earlier(1_000)]
#[case::later(9_000)]
fn an_upstream_that_has_left_restarts_whatever_its_clock_says(#[case] started: u64) {
    let mut tracker = InstanceTracker::new();
    tracker.note_heartbeat(&with_start("a", 4_000), 7, NOW);
    tracker.leave(&without_start("a"), NOW);

    let first = tracker.note_heartbeat(&with_start("a", started), 1, NOW);
    let next = tracker.note_heartbeat(&with_start("a", started), 2, NOW);
    let was_present = tracker.leave(&without_start("a"), NOW);

    assert_eq!((first, next), (HeartbeatVerdict::Fresh, HeartbeatVerdict::Fresh));
    assert!(was_present, "its own leave binds");
    let late = tracker.note_heartbeat(&with_start("a", 4_000), 8, NOW);
    assert_eq!(late, HeartbeatVerdict::Departed);
}

/// Guards against an upstream that is taken in once, after its silent predecessor, and ignored from then on.
#[test]
fn an_incarnation_that_looks_older_keeps_the_place_of_a_silent_one_of_its_name() {
    let mut tracker = InstanceTracker::new();
    tracker.note_heartbeat(&with_start("a", 9_000), 5, NOW);
    tracker.note_silence();
    tracker.note_heartbeat(&with_start("a", 4_000), 1, NOW);

    let next = tracker.note_heartbeat(&with_start("a", 4_000), 2, NOW);
    let late = tracker.note_heartbeat(&with_start("a", 9_000), 6, NOW);

    assert_eq!((next, late), (HeartbeatVerdict::Fresh, HeartbeatVerdict::Departed));
    assert!(tracker.leave(&without_start("a"), NOW));
}

/// A leave may be the first that a restarted node receives; the start time that it lacks is that of the heartbeats that
/// arrive until none can be late any more.
#[test]
fn a_late_heartbeat_tells_the_start_time_of_a_leave_before_it() {
    let mut tracker = InstanceTracker::new();
    tracker.leave(&without_start("a"), NOW);

    let late = tracker.note_heartbeat(&with_start("a", 1_000), 7, NOW + Duration::from_secs(4));

    assert_eq!(late, HeartbeatVerdict::Departed);
    assert_eq!(tracker.identify(&without_start("a")), with_start("a", 1_000));
    let again = tracker.note_heartbeat(&with_start("a", 1_000), 8, NOW + Duration::from_secs(60));
    assert_eq!(again, HeartbeatVerdict::Departed);
}

#[test]
fn a_leave_of_an_unknown_start_time_does_not_stick_to_the_name() {
    let mut tracker = InstanceTracker::new();
    tracker.leave(&without_start("a"), NOW);

    let later = tracker.note_heartbeat(&with_start("a", 1_000), 1, NOW + Duration::from_secs(6));

    assert_eq!(later, HeartbeatVerdict::Fresh);
}

#[test]
fn the_row_of_an_earlier_life_does_not_undo_a_leave_without_a_start_time() {
    let mut tracker = InstanceTracker::new();
    tracker.leave(&without_start("a"), NOW);

    assert!(!tracker.restore(&with_start("a", 1_000)));
    assert!(tracker.is_latest(&with_start("a", 1_000)));
}

/// Guards against an upstream without work for good, because a late heartbeat of an earlier one took its place.
#[test]
fn an_incarnation_that_was_replaced_by_mistake_returns_once_its_successor_is_silent() {
    let mut tracker = InstanceTracker::new();
    tracker.restore(&with_start("b", 2_000));
    tracker.note_heartbeat(&with_start("a", 9_000), 7, NOW);

    let before = tracker.note_heartbeat(&with_start("b", 2_000), 8, NOW);
    tracker.note_silence();
    let after = tracker.note_heartbeat(&with_start("b", 2_000), 9, NOW);

    assert_eq!((before, after), (HeartbeatVerdict::Departed, HeartbeatVerdict::Fresh));
}

/// What starts after a crash need not wait for a silence, though its start time looks older.
#[test]
fn an_incarnation_that_looks_older_replaces_a_crashed_one_at_once() {
    let mut tracker = InstanceTracker::new();
    tracker.note_heartbeat(&with_start("a", 9_000), 5, NOW);

    tracker.note_crash(&with_start("a", 9_000));
    let next = tracker.note_heartbeat(&with_start("a", 4_000), 1, NOW);
    let late = tracker.note_heartbeat(&with_start("a", 9_000), 6, NOW);

    assert_eq!((next, late), (HeartbeatVerdict::Fresh, HeartbeatVerdict::Departed));
}

#[test]
fn the_crash_of_another_incarnation_changes_nothing() {
    let mut tracker = InstanceTracker::new();
    tracker.note_heartbeat(&with_start("a", 9_000), 5, NOW);

    tracker.note_crash(&with_start("a", 1_000));

    let older = tracker.note_heartbeat(&with_start("a", 4_000), 1, NOW);
    assert_eq!(older, HeartbeatVerdict::Departed);
}

/// Guards against a leave that takes the place of a later one in what the node keeps, and so undoes it.
#[test]
fn a_repeated_leave_is_of_the_incarnation_that_has_left() {
    let mut tracker = left_after_a_restart();

    let repeated = tracker.identify(&without_start("a"));
    tracker.leave(&repeated, NOW);

    assert_eq!(repeated, with_start("a", 2_000));
    assert!(tracker.is_latest(&with_start("a", 2_000)));
}

/// The same of the leave of an incarnation that was replaced before.
#[test]
fn a_late_leave_of_a_replaced_incarnation_is_not_the_latest() {
    let mut tracker = left_after_a_restart();

    tracker.leave(&with_start("a", 1_000), NOW);

    assert!(tracker.is_latest(&with_start("a", 2_000)));
    let late = tracker.note_heartbeat(&with_start("a", 1_000), 6, NOW);
    assert_eq!(late, HeartbeatVerdict::Departed);
}
