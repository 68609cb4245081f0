//! Stateful fuzzing of draining: no new work starts once it has begun, and no work in flight is interrupted.

use coltsfootroute::{
    drain::{DrainPhase, DrainSettings, DrainState, StartDecision},
    time::MonotonicTime,
};
use proptest::prelude::*;
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};

use crate::util::fuzz_config::fuzz_config;

#[derive(Clone, Debug)]
enum Step {
    Begin,
    Start,
    Nested,
    Finish,
    Wait(u64),
}

#[derive(Clone, Debug, Default)]
struct Oracle {
    now_ms: u64,
    started_ms: Option<u64>,
    in_flight: u64,
    /// Whether the work of the last step may start.
    may_start: bool,
}

impl ReferenceStateMachine for Oracle {
    type State = Self;
    type Transition = Step;

    fn init_state() -> BoxedStrategy<Self> {
        Just(Self::default()).boxed()
    }

    fn transitions(_: &Self) -> BoxedStrategy<Step> {
        prop_oneof![
            1 => Just(Step::Begin),
            6 => Just(Step::Start),
            3 => Just(Step::Nested),
            8 => Just(Step::Finish),
            4 => (0..1_500u64).prop_map(Step::Wait),
        ]
        .boxed()
    }

    fn preconditions(state: &Self, step: &Step) -> bool {
        !matches!(step, Step::Finish) || state.in_flight > 0
    }

    fn apply(mut state: Self, step: &Step) -> Self {
        state.may_start = match step {
            Step::Start => state.started_ms.is_none(),
            Step::Nested => state.started_ms.is_none() || state.in_flight > 0,
            _ => false,
        };
        match step {
            Step::Begin => state.started_ms = state.started_ms.or(Some(state.now_ms)),
            Step::Start | Step::Nested => state.in_flight += u64::from(state.may_start),
            Step::Finish => state.in_flight -= 1,
            Step::Wait(millis) => state.now_ms += millis,
        }
        state
    }
}

struct DrainFuzz;

impl StateMachineTest for DrainFuzz {
    type SystemUnderTest = (DrainState, DrainPhase);
    type Reference = Oracle;

    fn init_test(_: &Oracle) -> Self::SystemUnderTest {
        (DrainState::new(DrainSettings::default()), DrainPhase::Serving)
    }

    fn apply(
        (mut state, before): Self::SystemUnderTest,
        oracle: &Oracle,
        step: Step,
    ) -> Self::SystemUnderTest {
        let now = MonotonicTime::from_millis(oracle.now_ms);
        let expected =
            if oracle.may_start { StartDecision::Started } else { StartDecision::Refused };
        match step {
            Step::Begin => _ = state.begin(now),
            Step::Start => assert_eq!(state.try_start(), expected),
            Step::Nested => assert_eq!(state.try_start_nested(), expected),
            Step::Finish => state.finish(),
            Step::Wait(_) => {}
        }
        let phase = state.phase(now);
        assert!(before <= phase, "phase went backward from {before} to {phase}");
        (state, phase)
    }

    fn check_invariants((state, _): &Self::SystemUnderTest, oracle: &Oracle) {
        let now = MonotonicTime::from_millis(oracle.now_ms);
        let notice_ms = DrainSettings::default().notice.as_millis() as u64;
        let notice_passed =
            oracle.started_ms.is_some_and(|started| started + notice_ms <= oracle.now_ms);
        let expected = match oracle.started_ms {
            None => DrainPhase::Serving,
            Some(_) if notice_passed && oracle.in_flight == 0 => DrainPhase::Drained,
            Some(_) => DrainPhase::Leaving,
        };
        assert_eq!(state.phase(now), expected);
        assert_eq!(state.in_flight(), oracle.in_flight);
    }
}

prop_state_machine! {
    #![proptest_config(fuzz_config(256, 0x0d4a_1417))]

    #[test]
    fn nothing_starts_after_a_leave_and_nothing_is_cut_off(sequential 1..120 => DrainFuzz);
}
