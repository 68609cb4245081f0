//! Heartbeats of one host's upstreams, late and out of order.

use coltsfootroute::membership::{
    BirthTime, HeartbeatVerdict, InstanceLedger, InstanceLife, InstanceName,
};

/// A life whose upstream does not say when it began.
fn name(text: &str) -> InstanceLife {
    InstanceLife::new(InstanceName::new(text))
}

fn life(text: &str, born: u64) -> InstanceLife {
    name(text).with_born(Some(BirthTime(born)))
}

#[test]
fn a_late_heartbeat_of_the_same_life_is_stale() {
    let mut ledger = InstanceLedger::new();
    ledger.hear(&name("a"), 5);

    let late = ledger.hear(&name("a"), 4);
    let again = ledger.hear(&name("a"), 5);
    let next = ledger.hear(&name("a"), 6);

    assert_eq!(late, HeartbeatVerdict::Stale);
    assert_eq!(again, HeartbeatVerdict::Stale);
    assert_eq!(next, HeartbeatVerdict::Fresh);
}

#[test]
fn an_instance_that_has_left_never_returns() {
    let mut ledger = InstanceLedger::new();
    ledger.hear(&name("a"), 1);

    let was_present = ledger.leave(&name("a"));

    assert!(was_present);
    assert_eq!(ledger.hear(&name("a"), 9), HeartbeatVerdict::Departed);
    assert_eq!(ledger.present(), None);
}

#[test]
fn a_new_instance_takes_the_place_of_the_old_one_for_good() {
    let mut ledger = InstanceLedger::new();
    ledger.hear(&name("a"), 1);

    let fresh = ledger.hear(&name("b"), 1);

    assert_eq!(fresh, HeartbeatVerdict::Fresh);
    assert_eq!(ledger.hear(&name("a"), 2), HeartbeatVerdict::Departed);
    assert!(!ledger.leave(&name("a")), "it is not the present one");
    assert_eq!(ledger.present(), Some(&name("b")));
}

#[test]
fn a_leave_comes_before_the_first_heartbeat() {
    let mut ledger = InstanceLedger::new();

    let was_present = ledger.leave(&name("a"));

    assert!(!was_present);
    assert_eq!(ledger.hear(&name("a"), 1), HeartbeatVerdict::Departed);
}

#[test]
fn an_upstream_that_starts_again_under_its_name_counts_anew() {
    let mut ledger = InstanceLedger::new();
    ledger.hear(&life("a", 1_000), 40);

    let reborn = ledger.hear(&life("a", 2_000), 1);
    let late = ledger.hear(&life("a", 1_000), 41);

    assert_eq!(reborn, HeartbeatVerdict::Fresh);
    assert_eq!(late, HeartbeatVerdict::Departed);
    assert_eq!(ledger.present(), Some(&life("a", 2_000)));
}

#[test]
fn an_upstream_that_has_left_may_start_again_under_its_name() {
    let mut ledger = InstanceLedger::new();
    ledger.hear(&life("a", 1_000), 3);
    ledger.leave(&life("a", 1_000));

    let late = ledger.hear(&life("a", 1_000), 4);
    let reborn = ledger.hear(&life("a", 2_000), 1);

    assert_eq!((late, reborn), (HeartbeatVerdict::Departed, HeartbeatVerdict::Fresh));
}

/// A cut may hold a heartbeat back until its sender has crashed and another upstream has its address.
#[test]
fn a_heartbeat_of_a_life_never_heard_of_comes_too_late() {
    let mut ledger = InstanceLedger::new();
    ledger.hear(&life("b", 2_000), 1);

    let late = ledger.hear(&life("a", 1_000), 7);

    assert_eq!(late, HeartbeatVerdict::Departed);
    assert_eq!(ledger.present(), Some(&life("b", 2_000)));
}

#[test]
fn a_leave_of_the_life_before_does_not_end_the_present_one() {
    let mut ledger = InstanceLedger::new();
    ledger.hear(&life("a", 2_000), 1);

    let was_present = ledger.leave(&life("a", 1_000));

    assert!(!was_present);
    assert_eq!(ledger.hear(&life("a", 2_000), 2), HeartbeatVerdict::Fresh);
}

/// The time of day may jump back between two starts.
#[test]
fn a_life_that_looks_old_takes_the_place_of_one_that_has_fallen_silent() {
    let mut ledger = InstanceLedger::new();
    ledger.hear(&life("a", 9_000), 5);

    let before = ledger.hear(&life("b", 4_000), 1);
    ledger.note_silence();
    let after = ledger.hear(&life("b", 4_000), 2);

    assert_eq!((before, after), (HeartbeatVerdict::Departed, HeartbeatVerdict::Fresh));
}
