//! The policies compared.

use std::time::Duration;

use coltsfootroute::admission::{
    AdmissionGate, AdmissionSettings, AimdLimit, ConcurrencyLimit, DelayLimit, FixedLimit,
    GradientLimit, QueueOrder,
};

use crate::{
    burst_headroom::{BurstDetector, HeadroomLimit},
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
}

impl Policy {
    pub const ALL: [Self; 10] = [
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
                let gate = AdmissionGate::with_limit(settings, limit);
                Model::new(gate, scenario, seed).with_detector(detector).run()
            }
        }
    }
}

fn run<L: ConcurrencyLimit>(
    settings: AdmissionSettings,
    limit: L,
    scenario: Scenario,
    seed: u64,
) -> RunResult {
    Model::new(AdmissionGate::with_limit(settings, limit), scenario, seed).run()
}
