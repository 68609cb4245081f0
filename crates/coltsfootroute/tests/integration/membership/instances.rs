//! Heartbeats of one host's upstreams, late and out of order.

use coltsfootroute::membership::{HeartbeatVerdict, InstanceLedger, InstanceName};

fn name(text: &str) -> InstanceName {
    InstanceName::new(text)
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
