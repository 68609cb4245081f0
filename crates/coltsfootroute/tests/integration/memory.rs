//! Limits on what a node holds for its clients.

use std::time::Duration;

use coltsfootroute::{
    memory::{MemoryBudget, SMALL_HOLD_BYTES, Scarcity},
    time::MonotonicTime,
};
use rstest::rstest;

/// Memory of the budgets in bytes: eight times as much as the reserve for small holds.
const CAPACITY: usize = 64 * SMALL_HOLD_BYTES;
/// What large holds leave.
const RESERVE: usize = CAPACITY / 8;

fn at(millis: u64) -> MonotonicTime {
    MonotonicTime::ZERO + Duration::from_millis(millis)
}

#[test]
fn large_holds_leave_a_reserve_to_small_ones() {
    let mut budget = MemoryBudget::new(CAPACITY);

    assert!(budget.try_raise(0, CAPACITY - RESERVE));
    assert!(!budget.try_raise(0, SMALL_HOLD_BYTES + 1));
    let small = (0..).take_while(|_| budget.try_raise(0, SMALL_HOLD_BYTES)).count();

    assert_eq!(small, RESERVE / SMALL_HOLD_BYTES);
    assert_eq!(budget.used(), CAPACITY);
}

/// The pieces of a hold count as the whole that they make.
#[test]
fn a_hold_that_grows_does_not_take_the_reserve() {
    let mut budget = MemoryBudget::new(CAPACITY);
    let mut held = 0;

    while budget.try_raise(held, held + SMALL_HOLD_BYTES) {
        held += SMALL_HOLD_BYTES;
    }

    assert_eq!(held, CAPACITY - RESERVE);
    assert_eq!(budget.used(), held);
}

#[rstest]
#[case::all_at_once(0)]
#[case::in_two_steps(SMALL_HOLD_BYTES)]
fn a_refused_hold_changes_nothing(#[case] held: usize) {
    let mut budget = MemoryBudget::new(CAPACITY);
    assert!(budget.try_raise(0, held));

    assert!(!budget.try_raise(held, usize::MAX));
    assert!(!budget.try_raise(held, CAPACITY));

    assert_eq!(budget.used(), held);
}

#[test]
fn what_is_released_can_be_held_again() {
    let mut budget = MemoryBudget::new(CAPACITY);
    assert!(budget.try_raise(0, CAPACITY - RESERVE));

    budget.release(CAPACITY - RESERVE);

    assert_eq!(budget.used(), 0);
    assert!(budget.try_raise(0, CAPACITY - RESERVE));
}

#[test]
fn a_resource_is_scarce_for_a_while_after_it_was_short() {
    let mut scarcity = Scarcity::default();
    assert!(!scarcity.lasts(at(0)));

    scarcity.record(at(1_000));

    assert!(scarcity.lasts(at(1_000)) && scarcity.lasts(at(5_999)));
    assert!(!scarcity.lasts(at(6_000)));
}

#[test]
fn holders_are_told_from_time_to_time() {
    let mut scarcity = Scarcity::default();

    let told = (0..1_000).filter(|millis| scarcity.record(at(*millis))).count();

    assert_eq!(told, 2);
}
