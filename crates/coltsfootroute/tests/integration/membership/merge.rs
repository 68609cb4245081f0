//! Merge order and digests of a group.

use std::time::Duration;

use coltsfootroute::{
    id::Incarnation,
    membership::{GroupView, MAX_BUCKETS, MemberRecord, MemberState, MemberUpdate, MergeOutcome},
    name::{DomainName, RegionName, ServiceName},
    time::MonotonicTime,
};
use proptest::{collection::vec, prelude::*, test_runner::RngSeed};
use rstest::rstest;

use super::network::node_id;

const RETENTION: Duration = Duration::from_secs(60);

fn update(number: u8, incarnation: u64, state: MemberState) -> MemberUpdate {
    let (domain, region) = (DomainName::new("dar-a"), RegionName::new("dar"));
    let record = MemberRecord::new(node_id(number), Incarnation(incarnation), domain, region);
    MemberUpdate::new(MemberRecord { service: Some(ServiceName::new("logbook")), state, ..record })
}

fn view(updates: &[MemberUpdate]) -> GroupView {
    let mut view = GroupView::new(100, RETENTION);
    for update in updates {
        view.merge(MonotonicTime::ZERO, update.clone(), true);
    }
    view
}

fn any_update() -> impl Strategy<Value = MemberUpdate> {
    let state = prop_oneof![
        Just(MemberState::Alive),
        Just(MemberState::Suspect),
        Just(MemberState::Dead),
        Just(MemberState::Left),
    ];
    (0_u8..20, 0_u64..4, state)
        .prop_map(|(number, incarnation, state)| update(number, incarnation, state))
}

#[rstest]
#[case::leave_undoes_death((1, MemberState::Dead), (1, MemberState::Left), true)]
#[case::death_does_not_undo_a_leave((1, MemberState::Left), (1, MemberState::Dead), false)]
#[case::same_incarnation_does_not_undo_a_leave((1, MemberState::Left), (1, MemberState::Alive), false)]
#[case::earlier_incarnation_does_not_undo_a_leave((2, MemberState::Left), (1, MemberState::Alive), false)]
#[case::later_incarnation_supersedes_a_leave((1, MemberState::Left), (2, MemberState::Alive), true)]
#[case::suspicion_needs_a_refutation((1, MemberState::Suspect), (1, MemberState::Alive), false)]
fn merge_follows_the_order(
    #[case] known: (u64, MemberState),
    #[case] received: (u64, MemberState),
    #[case] applied: bool,
) {
    let mut view = view(&[update(1, known.0, known.1)]);

    let outcome = view.merge(MonotonicTime::ZERO, update(1, received.0, received.1), true);

    assert_eq!(matches!(outcome, MergeOutcome::Changed(_)), applied);
}

#[test]
fn tombstone_expires_by_the_age_that_came_with_it() {
    let mut view = view(&[]);
    let old = update(1, 1, MemberState::Left).with_age(RETENTION - Duration::from_secs(1));
    view.merge(MonotonicTime::ZERO, old, true);
    view.merge(MonotonicTime::ZERO, update(2, 1, MemberState::Left), true);

    view.prune(MonotonicTime::from_millis(1_000), 10);

    assert!(view.get(node_id(1)).is_none());
    assert!(view.get(node_id(2)).is_some());
}

#[test]
fn hidden_member_returns_only_on_an_authoritative_update() {
    let mut view = view(&[update(1, 1, MemberState::Alive)]);
    view.hide(MonotonicTime::ZERO, node_id(1));

    let unverified = view.merge(MonotonicTime::ZERO, update(1, 1, MemberState::Alive), false);
    let hidden = view.live().count();
    let authoritative = view.merge(MonotonicTime::ZERO, update(1, 1, MemberState::Alive), true);

    assert_eq!((unverified, hidden), (MergeOutcome::Same, 0));
    assert_eq!((authoritative, view.live().count()), (MergeOutcome::Changed(None), 1));
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(3),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Views that merged the same updates in any order are equal, and the incrementally updated digests match the
    /// records.
    #[test]
    fn order_of_arrival_does_not_matter(updates in vec(any_update(), 0..60), seed: u64) {
        use rand::{SeedableRng, seq::SliceRandom};
        let mut shuffled = updates.clone();
        shuffled.shuffle(&mut rand_pcg::Pcg64::seed_from_u64(seed));

        let (left, right) = (view(&updates), view(&shuffled));

        let hashes = left.live().map(MemberRecord::content_hash);
        prop_assert_eq!(left.digest(), hashes.fold(0, |digest, hash| digest ^ hash));
        prop_assert_eq!(left.digest(), right.digest());
        prop_assert_eq!(left.live().count(), left.live_count());
        for count in [1, 4, MAX_BUCKETS] {
            prop_assert_eq!(left.bucket_digests(count), right.bucket_digests(count));
        }
    }
}
