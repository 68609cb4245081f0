//! Seeded arrivals: Poisson, or a 2-state Markov-modulated Poisson process with the same mean.

use std::time::Duration;

use rand::RngExt;
use rand_pcg::Pcg64;

use crate::scenario::{SERVICE_SECONDS, SLOTS, Scenario, USUAL_LOAD};

/// Rate in a burst, as a multiple of the mean.
const BURST_RATE: f64 = 2.3;
/// Share of the time in bursts.
const BURST_SHARE: f64 = 0.25;
/// Mean length of a burst, in seconds.
const BURST_SECONDS: f64 = 0.5;

/// Generator of arrival times.
pub struct Arrivals {
    scenario: Scenario,
    now: f64,
    in_burst: bool,
    switch_at: f64,
}

impl Arrivals {
    pub fn new(scenario: Scenario) -> Self {
        Self { scenario, now: 0.0, in_burst: false, switch_at: 0.0 }
    }

    /// The next arrival.
    pub fn next(&mut self, rng: &mut Pcg64) -> Duration {
        loop {
            let rate = self.rate();
            let next = self.now + exponential(rng, 1.0 / rate);
            if !self.scenario.is_bursty() || next <= self.switch_at {
                self.now = next;
                return Duration::from_secs_f64(next);
            }
            self.switch(rng);
        }
    }

    fn rate(&self) -> f64 {
        let slots = f64::from(SLOTS) * self.scenario.upstreams() as f64;
        let mean = USUAL_LOAD * slots / SERVICE_SECONDS;
        let demand = self.scenario.demand(Duration::from_secs_f64(self.now));
        if !self.scenario.is_bursty() {
            return mean * demand;
        }
        let quiet = (1.0 - BURST_SHARE * BURST_RATE) / (1.0 - BURST_SHARE);
        mean * if self.in_burst { BURST_RATE } else { quiet }
    }

    fn switch(&mut self, rng: &mut Pcg64) {
        self.now = self.switch_at;
        self.in_burst = !self.in_burst;
        let quiet_seconds = BURST_SECONDS * (1.0 - BURST_SHARE) / BURST_SHARE;
        let mean = if self.in_burst { BURST_SECONDS } else { quiet_seconds };
        self.switch_at += exponential(rng, mean);
    }
}

/// Draws from an exponential distribution.
pub fn exponential(rng: &mut Pcg64, mean: f64) -> f64 {
    -mean * (1.0 - rng.random::<f64>()).ln()
}
