//! When calls may have moved from one guard of a service to another.

use coltsfootroute::{
    id::{Incarnation, NodeId},
    membership::{MemberRecord, MemberState},
    name::{DomainName, RegionName},
    retry::GuardTracker,
    time::MonotonicTime,
};

const LATER: MonotonicTime = MonotonicTime::from_millis(60_000);

/// A member in some life; the lives of a node are numbered.
fn member(port: u16, life: u64) -> MemberRecord {
    let node = NodeId(([127, 0, 0, 1], port).into());
    let (domain, region) = (DomainName::new("dar-a"), RegionName::new("dar"));
    MemberRecord::new(node, Incarnation(life), domain, region)
}

fn dead(port: u16) -> MemberRecord {
    MemberRecord { state: MemberState::Dead, ..member(port, 1) }
}

/// A tracker that has long known two guards.
fn settled() -> GuardTracker {
    let mut tracker = GuardTracker::new(false);
    tracker.update(LATER, &[member(1, 1), member(2, 1)]);
    tracker
}

#[test]
fn the_same_guards_in_another_order_are_no_change() {
    let mut tracker = settled();

    assert!(!tracker.update(LATER, &[member(2, 1), member(1, 1)]));
}

#[test]
fn a_guard_that_has_gone_come_or_begun_anew_is_a_change() {
    for members in [
        vec![member(1, 1), dead(2)],
        vec![member(1, 1), member(2, 1), member(3, 1)],
        vec![member(1, 1), member(2, 2)],
    ] {
        let mut tracker = settled();

        assert!(tracker.update(LATER, &members), "{members:?}");
    }
}

#[test]
fn guards_that_start_with_the_deployment_have_had_no_calls() {
    let mut tracker = GuardTracker::new(true);

    let at_start = tracker.update(MonotonicTime::from_millis(500), &[member(1, 1)]);
    let later = tracker.update(LATER, &[member(1, 1), member(2, 1)]);

    assert_eq!([at_start, later], [false, true]);
}

#[test]
fn a_guard_that_starts_alone_may_have_had_calls_in_an_earlier_life() {
    let mut tracker = GuardTracker::new(false);

    assert!(tracker.update(MonotonicTime::from_millis(500), &[member(1, 1)]));
}
