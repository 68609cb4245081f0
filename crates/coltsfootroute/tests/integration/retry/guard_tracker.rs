//! Detection of changes after which calls may have moved from one guard of a service to another.

use coltsfootroute::{
    id::{Incarnation, NodeId},
    membership::{MemberRecord, MemberState},
    name::{DomainName, RegionName},
    retry::GuardTracker,
    time::MonotonicTime,
};

const LATER: MonotonicTime = MonotonicTime::from_millis(60_000);

/// Creates a member with the given incarnation number.
fn member(port: u16, incarnation: u64) -> MemberRecord {
    let node = NodeId(([127, 0, 0, 1], port).into());
    let (domain, region) = (DomainName::new("dar-a"), RegionName::new("dar"));
    MemberRecord::new(node, Incarnation(incarnation), domain, region)
}

fn dead(port: u16) -> MemberRecord {
    MemberRecord { state: MemberState::Dead, ..member(port, 1) }
}

/// Creates a tracker that knows two guards since after the start of the deployment.
fn settled_tracker() -> GuardTracker {
    let mut tracker = GuardTracker::new(false);
    tracker.update(LATER, &[member(1, 1), member(2, 1)]);
    tracker
}

#[test]
fn the_same_guards_in_another_order_are_no_change() {
    let mut tracker = settled_tracker();

    assert!(!tracker.update(LATER, &[member(2, 1), member(1, 1)]));
}

#[test]
fn a_guard_that_has_left_joined_or_restarted_is_a_change() {
    for members in [
        vec![member(1, 1), dead(2)],
        vec![member(1, 1), member(2, 1), member(3, 1)],
        vec![member(1, 1), member(2, 2)],
    ] {
        let mut tracker = settled_tracker();

        assert!(tracker.update(LATER, &members), "{members:?}");
    }
}

#[test]
fn guards_that_start_with_the_deployment_are_no_change() {
    let mut tracker = GuardTracker::new(true);

    let at_start = tracker.update(MonotonicTime::from_millis(500), &[member(1, 1)]);
    let later = tracker.update(LATER, &[member(1, 1), member(2, 1)]);

    assert_eq!([at_start, later], [false, true]);
}

#[test]
fn a_guard_that_starts_alone_may_have_received_calls_in_an_earlier_incarnation() {
    let mut tracker = GuardTracker::new(false);

    assert!(tracker.update(MonotonicTime::from_millis(500), &[member(1, 1)]));
}
