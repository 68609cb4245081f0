//! The policies compared.

use std::time::Duration;

use coltsfootroute::admission::{
    AdmissionGate, AdmissionSettings, AimdLimit, ConcurrencyLimit, DelayLimit, FixedLimit,
    GradientLimit, QueueOrder,
};

use crate::{
    burst_headroom::{BurstDetector, HeadroomLimit},
    guard_choice::GuardChoice,
    model::{Model, RunResult},
    scenario::{SLOTS, Scenario},
};

/// One policy.
#[derive(Clone, Copy, Debug)]
pub enum Policy {
    Fixed,
    Aimd,
    AimdTimeouts,
    Gradient,
    Delay,
    AimdNewestFirst,
    AimdShortQueue,
    AimdLongQueue,
    AimdQueue200,
    AimdBurstHeadroom,
    AimdHighest,
    AimdTwoChoices,
    AimdTwoChoicesHighest,
    AimdTwoFractions,
}

impl Policy {
    pub const ALL: [Self; 14] = [
        Self::Fixed,
        Self::Aimd,
        Self::AimdTimeouts,
        Self::Gradient,
        Self::Delay,
        Self::AimdNewestFirst,
        Self::AimdShortQueue,
        Self::AimdLongQueue,
        Self::AimdQueue200,
        Self::AimdBurstHeadroom,
        Self::AimdHighest,
        Self::AimdTwoChoices,
        Self::AimdTwoChoicesHighest,
        Self::AimdTwoFractions,
    ];

    pub fn name(self) -> &'static str {
        match self {
            Self::Fixed => "fixed",
            Self::Aimd => "AIMD (default)",
            Self::AimdTimeouts => "AIMD, timeouts count",
            Self::Gradient => "latency gradient",
            Self::Delay => "queueing delay",
            Self::AimdNewestFirst => "AIMD, newest first",
            Self::AimdShortQueue => "AIMD, queue 50/10 ms",
            Self::AimdLongQueue => "AIMD, queue 400 ms",
            Self::AimdQueue200 => "AIMD, queue 200 ms",
            Self::AimdBurstHeadroom => "AIMD, burst headroom",
            Self::AimdHighest => "AIMD, highest guard counts",
            Self::AimdTwoChoices => "AIMD, two choices by level",
            Self::AimdTwoChoicesHighest => "AIMD, two choices, highest counts",
            Self::AimdTwoFractions => "AIMD, two choices by fraction",
        }
    }

    /// Whether the policy is worth a row in `scenario`.
    pub fn fits(self, scenario: Scenario) -> bool {
        match self {
            Self::AimdHighest
            | Self::AimdTwoChoices
            | Self::AimdTwoChoicesHighest
            | Self::AimdTwoFractions => scenario.upstreams() > 1,
            Self::AimdBurstHeadroom => scenario.upstreams() == 1,
            _ => true,
        }
    }

    /// One run of `scenario`.
    pub fn run(self, scenario: Scenario, seed: u64) -> RunResult {
        let settings = AdmissionSettings::new(SLOTS);
        let aimd = AimdLimit::new(SLOTS);
        match self {
            Self::Fixed => run(settings, FixedLimit::new(SLOTS), scenario, seed),
            Self::Aimd => run(settings, aimd, scenario, seed),
            Self::AimdTimeouts => run(settings, aimd.with_timeouts(true), scenario, seed),
            Self::Gradient => run(settings, GradientLimit::new(SLOTS), scenario, seed),
            Self::Delay => run(settings, DelayLimit::new(SLOTS), scenario, seed),
            Self::AimdNewestFirst => {
                let settings = settings.with_queue_order(QueueOrder::NewestFirstUnderOverload);
                run(settings, aimd, scenario, seed)
            }
            Self::AimdShortQueue => {
                let settings = settings
                    .with_max_queue_delay(Duration::from_millis(50))
                    .with_overload_queue_delay(Duration::from_millis(10));
                run(settings, aimd, scenario, seed)
            }
            Self::AimdQueue200 => {
                let settings = settings
                    .with_queue_length(SLOTS * 10)
                    .with_max_queue_delay(Duration::from_millis(200))
                    .with_overload_queue_delay(Duration::from_millis(200));
                run(settings, aimd, scenario, seed)
            }
            Self::AimdLongQueue => {
                let settings = settings
                    .with_queue_length(SLOTS * 20)
                    .with_max_queue_delay(Duration::from_millis(400))
                    .with_overload_queue_delay(Duration::from_millis(400));
                run(settings, aimd, scenario, seed)
            }
            Self::AimdBurstHeadroom => {
                let detector = BurstDetector::new();
                let limit = HeadroomLimit::new(aimd, detector.factor());
                let gates = vec![AdmissionGate::with_limit(settings, limit)];
                Model::new(gates, scenario, seed).with_detector(detector).run()
            }
            Self::AimdHighest => run_with(GuardChoice::default().with_highest(), scenario, seed),
            Self::AimdTwoChoices => {
                run_with(GuardChoice::default().with_two_choices(), scenario, seed)
            }
            Self::AimdTwoFractions => {
                run_with(GuardChoice::default().with_two_fractions(), scenario, seed)
            }
            Self::AimdTwoChoicesHighest => {
                let choice = GuardChoice::default().with_highest().with_two_choices();
                run_with(choice, scenario, seed)
            }
        }
    }
}

fn run_with(choice: GuardChoice, scenario: Scenario, seed: u64) -> RunResult {
    let gate = AdmissionGate::new(AdmissionSettings::new(SLOTS));
    let gates = vec![gate; scenario.upstreams()];
    Model::new(gates, scenario, seed).with_choice(choice).run()
}

fn run<L: ConcurrencyLimit + Clone>(
    settings: AdmissionSettings,
    limit: L,
    scenario: Scenario,
    seed: u64,
) -> RunResult {
    let gates = vec![AdmissionGate::with_limit(settings, limit); scenario.upstreams()];
    Model::new(gates, scenario, seed).run()
}
