//! Tests which peers are queried for a revision that they have reported, and when.

use std::time::Duration;

use coltsfootroute::{
    id::NodeId,
    revision::{PullPlan, Revision},
    time::MonotonicTime,
};

const HELD: Revision = Revision(4);

fn at(millis: u64) -> MonotonicTime {
    MonotonicTime::from_millis(millis)
}

fn peer(port: u16) -> NodeId {
    NodeId(([127, 0, 0, 1], port).into())
}

/// Returns a plan with reports of revision 5 from the given number of peers, on ports from 1.
fn plan_with_candidates(peers: u16) -> PullPlan {
    let mut plan = PullPlan::new();
    (1..=peers).for_each(|port| plan.record_revision(peer(port), Revision(5)));
    plan
}

#[test]
fn one_peer_is_asked_at_first() {
    let mut plan = plan_with_candidates(3);

    assert!(plan.next_peer(at(0), HELD).is_some());
    assert_eq!(plan.next_peer(at(100), HELD), None);
}

#[test]
fn another_is_asked_when_the_first_has_not_answered_for_a_while() {
    let mut plan = plan_with_candidates(3);
    let first = plan.next_peer(at(0), HELD);
    let due = plan.next_hedge_at().expect("other candidates remain");

    let second = plan.next_peer(due, HELD);

    assert!(second.is_some());
    assert_ne!(first, second);
    assert!(due < at(1_000), "{due:?}");
}

#[test]
fn no_more_than_three_are_asked_at_once() {
    let mut plan = plan_with_candidates(9);
    let mut now = at(0);

    let queried = (0..9).filter(|_| {
        now = now + Duration::from_secs(1);
        plan.next_peer(now, HELD).is_some()
    });

    assert_eq!(queried.count(), 3);
    assert_eq!(plan.next_hedge_at(), None);
}

#[test]
fn the_peer_with_the_highest_revision_is_asked_first() {
    let mut plan = plan_with_candidates(3);
    plan.record_revision(peer(9), Revision(7));

    assert_eq!(plan.next_peer(at(0), HELD), Some(peer(9)));
}

#[test]
fn nobody_is_asked_for_what_is_held() {
    let mut plan = plan_with_candidates(3);

    assert_eq!(plan.next_peer(at(0), Revision(5)), None);
    assert_eq!(plan.next_hedge_at(), None);
}

#[test]
fn the_next_is_asked_immediately_after_a_completed_pull() {
    let mut plan = plan_with_candidates(2);
    let first = plan.next_peer(at(0), HELD).expect("a peer");

    plan.record_completion(first);

    assert!(plan.next_peer(at(10), HELD).is_some());
}
