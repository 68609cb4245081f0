//! Which peers are asked for a revision that they have told of, and when.

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

/// A plan that has heard of revision 5 from so many peers, the first one at port 1.
fn told_by(peers: u16) -> PullPlan {
    let mut plan = PullPlan::new();
    (1..=peers).for_each(|port| plan.hear(peer(port), Revision(5)));
    plan
}

#[test]
fn one_peer_is_asked_at_first() {
    let mut plan = told_by(3);

    assert!(plan.take_next(at(0), HELD).is_some());
    assert_eq!(plan.take_next(at(100), HELD), None);
}

#[test]
fn another_is_asked_when_the_first_has_not_answered_for_a_while() {
    let mut plan = told_by(3);
    let first = plan.take_next(at(0), HELD);
    let due = plan.next_due().expect("others know too");

    let second = plan.take_next(due, HELD);

    assert!(second.is_some());
    assert_ne!(first, second);
    assert!(due < at(1_000), "{due:?}");
}

#[test]
fn no_more_than_three_are_asked_at_once() {
    let mut plan = told_by(9);
    let mut now = at(0);

    let asked = (0..9).filter(|_| {
        now = now + Duration::from_secs(1);
        plan.take_next(now, HELD).is_some()
    });

    assert_eq!(asked.count(), 3);
    assert_eq!(plan.next_due(), None);
}

#[test]
fn whoever_knows_most_is_asked_first() {
    let mut plan = told_by(3);
    plan.hear(peer(9), Revision(7));

    assert_eq!(plan.take_next(at(0), HELD), Some(peer(9)));
}

#[test]
fn nobody_is_asked_for_what_is_held() {
    let mut plan = told_by(3);

    assert_eq!(plan.take_next(at(0), Revision(5)), None);
    assert_eq!(plan.next_due(), None);
}

#[test]
fn the_next_is_asked_at_once_when_one_has_answered_in_vain() {
    let mut plan = told_by(2);
    let first = plan.take_next(at(0), HELD).expect("a peer");

    plan.note_ended(first);

    assert!(plan.take_next(at(10), HELD).is_some());
}
