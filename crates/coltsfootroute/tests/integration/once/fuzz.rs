//! Stateful fuzzing of at-most-once execution against an oracle that counts runs.

use std::time::Duration;

use coltsfootroute::once::{ClaimId, ClaimRecord};
use proptest::prelude::*;
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};

use crate::util::{
    fuzz_config::fuzz_config,
    once_world::{OnceWorld, RETENTION, StoreBehavior},
};

const GUARDS: usize = 3;
const KEYS: [&str; 2] = ["k1", "k2"];
const BODIES: [&str; 2] = ["pay 10", "pay 20"];
/// Length of a long answer in bytes; enough for it to go to the object store.
const LONG_ANSWER: usize = 100;
const CASES: u32 = 1_500;
const STEPS: usize = 60;

/// One step of the fuzz test. A `pick` is taken modulo the number of candidates.
#[derive(Clone, Debug)]
enum OnceTransition {
    Begin { guard: usize, key: usize, body: usize },
    Deliver { pick: usize, behavior: StoreBehavior },
    ApplyLateWrites,
    Dispatch { pick: usize },
    Finish { pick: usize, is_long: bool },
    Interrupt { pick: usize },
    Cancel { pick: usize },
    SendTasks { guard: usize },
    Restart { guard: usize },
    Advance { millis: u64 },
    Expire,
    Sweep,
}

/// Draws the transitions. The oracle is part of [`OnceWorld`], next to the state that it checks.
struct OnceReference;

impl ReferenceStateMachine for OnceReference {
    /// Whether the keys have released claims at the start.
    type State = bool;
    type Transition = OnceTransition;

    fn init_state() -> BoxedStrategy<bool> {
        any::<bool>().boxed()
    }

    fn transitions(_: &bool) -> BoxedStrategy<OnceTransition> {
        let behavior = prop_oneof![
            6 => Just(StoreBehavior::Up),
            2 => Just(StoreBehavior::AckLost),
            1 => Just(StoreBehavior::Lost),
            2 => Just(StoreBehavior::Late),
            1 => Just(StoreBehavior::Down),
        ];
        let (guard, pick) = (0..GUARDS, 0_usize..8);
        // Mostly the same key and body, since only such requests interfere.
        let key = prop_oneof![4 => Just(0_usize), 1 => Just(1_usize)];
        let body = prop_oneof![8 => Just(0_usize), 1 => Just(1_usize)];
        prop_oneof![
            10 => (guard.clone(), key, body)
                .prop_map(|(guard, key, body)| OnceTransition::Begin { guard, key, body }),
            30 => (pick.clone(), behavior)
                .prop_map(|(pick, behavior)| OnceTransition::Deliver { pick, behavior }),
            3 => Just(OnceTransition::ApplyLateWrites),
            6 => pick.clone().prop_map(|pick| OnceTransition::Dispatch { pick }),
            4 => (pick.clone(), any::<bool>())
                .prop_map(|(pick, is_long)| OnceTransition::Finish { pick, is_long }),
            1 => pick.clone().prop_map(|pick| OnceTransition::Interrupt { pick }),
            4 => pick.prop_map(|pick| OnceTransition::Cancel { pick }),
            10 => guard.clone().prop_map(|guard| OnceTransition::SendTasks { guard }),
            1 => guard.prop_map(|guard| OnceTransition::Restart { guard }),
            4 => (1_u64..700).prop_map(|millis| OnceTransition::Advance { millis }),
            1 => Just(OnceTransition::Expire),
            1 => Just(OnceTransition::Sweep),
        ]
        .boxed()
    }

    fn apply(is_released: bool, _: &OnceTransition) -> bool {
        is_released
    }
}

struct OnceFuzz;

impl StateMachineTest for OnceFuzz {
    type SystemUnderTest = OnceWorld;
    type Reference = OnceReference;

    fn init_test(is_released: &bool) -> OnceWorld {
        let mut world = OnceWorld::new(GUARDS);
        for key in KEYS.iter().filter(|_| *is_released) {
            let claim_id = world.begin(0, key, BODIES[0]);
            world.cancel(claim_id);
        }
        world.settle();
        world
    }

    fn apply(mut world: OnceWorld, _: &bool, transition: OnceTransition) -> OnceWorld {
        match transition {
            OnceTransition::Begin { guard, key, body } => {
                world.begin(guard, KEYS[key], BODIES[body]);
            }
            OnceTransition::Deliver { pick, behavior } if !world.pending_requests.is_empty() => {
                world.deliver(pick % world.pending_requests.len(), behavior);
            }
            OnceTransition::Deliver { .. } => {}
            OnceTransition::ApplyLateWrites => world.apply_late_writes(),
            OnceTransition::Dispatch { pick } => {
                if let Some(claim_id) = nth(world.tickets.keys(), pick) {
                    world.dispatch(claim_id);
                }
            }
            OnceTransition::Finish { pick, is_long } => {
                if let Some(claim_id) = nth(world.runs.keys(), pick) {
                    world.finish(claim_id, if is_long { LONG_ANSWER } else { 0 });
                }
            }
            OnceTransition::Interrupt { pick } => {
                if let Some(claim_id) = nth(world.runs.keys(), pick) {
                    world.interrupt(claim_id);
                }
            }
            OnceTransition::Cancel { pick } => {
                if let Some(claim_id) = nth(world.attempts.keys().rev(), pick) {
                    world.cancel(claim_id);
                }
            }
            OnceTransition::SendTasks { guard } => world.send_tasks(guard),
            OnceTransition::Restart { guard } => world.restart(guard),
            OnceTransition::Advance { millis } => world.advance(Duration::from_millis(millis)),
            OnceTransition::Expire => world.advance(RETENTION),
            OnceTransition::Sweep => world.sweep(),
        }
        world
    }

    /// Once everything has settled, a key is free unless its request ran, may have run in an incarnation
    /// that has ended, or its record has expired.
    fn teardown(mut world: OnceWorld, _: bool) {
        world.settle();
        for guard in &world.guards {
            assert_eq!(guard.open_claims(), 0, "a claim is never settled");
        }
        for key in KEYS {
            let record = world.record(key);
            let may_run = match &record {
                None | Some(ClaimRecord::Free) => true,
                Some(ClaimRecord::Claimed(claim)) => {
                    assert!(
                        !world.is_alive(claim.holder),
                        "an abandoned claim remains in the table"
                    );
                    false
                }
                Some(_) => false,
            };
            let claim_id = world.begin(0, key, BODIES[0]);
            world.settle();
            let attempt = &world.attempts[&claim_id];
            assert_eq!(attempt.was_dispatched, may_run, "{record:?}: {:?}", attempt.reported);
        }
    }
}

fn nth<'a>(mut ids: impl ExactSizeIterator<Item = &'a ClaimId>, pick: usize) -> Option<ClaimId> {
    let count = ids.len();
    if count == 0 { None } else { ids.nth(pick % count).copied() }
}

prop_state_machine! {
    #![proptest_config(ProptestConfig {
        max_shrink_iters: 20_000,
        ..fuzz_config(CASES, 0x5eed)
    })]

    #[test]
    fn no_key_runs_twice(sequential 1..STEPS => OnceFuzz);
}
