//! Tests that nodes agree after receiving the same updates in any order, any number of times.

use std::time::Duration;

use coltsfootroute::{
    quarantine::{CrashId, CrashReport, QuarantineRegister, QuarantineUpdate, RequestFingerprint},
    time::MonotonicTime,
};
use proptest::prelude::*;

const NOW: MonotonicTime = MonotonicTime::from_millis(100_000_000);

/// Strategy for one crash with some of six requests in flight.
fn report() -> impl Strategy<Value = QuarantineUpdate> {
    (0..8_u64, proptest::collection::vec(0..6_u128, 1..4), 0..5_u64).prop_map(
        |(crash, suspects, age)| QuarantineUpdate {
            crashes: vec![CrashReport {
                crash: CrashId(crash),
                age: Duration::from_secs(age),
                suspects: suspects.into_iter().map(RequestFingerprint).collect(),
            }],
            ..QuarantineUpdate::default()
        },
    )
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(256) })]

    #[test]
    fn the_order_of_updates_does_not_matter(
        update in proptest::collection::vec(report(), 1..30),
        shuffled in any::<proptest::sample::Index>(),
    ) {
        let (mut first, mut second) = (QuarantineRegister::default(), QuarantineRegister::default());
        for each in &update {
            first.merge(NOW, each.clone());
        }
        let turn = shuffled.index(update.len());
        for each in update[turn..].iter().rev().chain(update[..turn].iter()).chain(update.iter()) {
            second.merge(NOW, each.clone());
        }
        prop_assert_eq!(first.digest(), second.digest());
    }

    #[test]
    fn a_full_update_makes_another_node_agree(
        update in proptest::collection::vec(report(), 1..30),
    ) {
        let (mut first, mut second) = (QuarantineRegister::default(), QuarantineRegister::default());
        for each in &update {
            first.merge(NOW, each.clone());
        }
        second.merge(NOW, first.all(NOW));
        prop_assert_eq!(first.digest(), second.digest());
        // A node that already knows everything has nothing to forward.
        prop_assert!(second.merge(NOW, first.all(NOW)).is_empty());
    }
}

/// Nodes compare digests to detect that one lacks cases even after both have sent their updates.
#[test]
fn digests_distinguish_cases_and_are_zero_without_any() {
    let mut register = QuarantineRegister::default();
    assert_eq!(register.digest(), 0);
    let fingerprint = RequestFingerprint(7);
    for crash in 0..3 {
        let report =
            CrashReport { crash: CrashId(crash), age: Duration::ZERO, suspects: vec![fingerprint] };
        register
            .merge(NOW, QuarantineUpdate { crashes: vec![report], ..QuarantineUpdate::default() });
    }
    let held = register.digest();
    register.release(NOW, fingerprint);

    assert_ne!(held, 0);
    assert_ne!(held, register.digest());
}
