//! Circuit breaker in front of the table service.

use std::time::Duration;

use rand::{Rng, RngExt};

use super::StoreHealth;
use crate::time::MonotonicTime;

record_type! {
    /// When a circuit breaker opens and how it probes.
    pub struct BreakerSettings {
        /// Failures in a row that open it; at least 1.
        pub failures_to_open: u32,
        /// First time it stays open; doubled with each failed probe.
        pub initial_open: Duration,
        /// Longest time it stays open.
        pub max_open: Duration,
        /// A probe without a result for this long is taken to have failed.
        pub probe_timeout: Duration,
    }
}

impl Default for BreakerSettings {
    fn default() -> Self {
        Self {
            failures_to_open: 5,
            initial_open: Duration::from_millis(200),
            max_open: Duration::from_secs(5),
            probe_timeout: Duration::from_secs(2),
        }
    }
}

value_type! {
    /// State of a [`CircuitBreaker`].
    pub enum BreakerState {
        /// Requests pass; counts the failures in a row.
        Closed(u32),
        /// Nothing passes until the time given.
        Open(MonotonicTime),
        /// One probe is under way since the time given.
        HalfOpen(MonotonicTime),
    }
}

record_type! {
    /// Fails fast while the service doesn't answer, and lets one probe at a time through.
    pub struct CircuitBreaker {
        settings: BreakerSettings,
        state: BreakerState,
        /// Time to stay open after the next failed probe.
        next_open: Duration,
    }
}

impl CircuitBreaker {
    /// A closed breaker.
    pub fn new(settings: BreakerSettings) -> Self {
        let next_open = settings.initial_open;
        Self { settings, state: BreakerState::Closed(0), next_open }
    }

    /// The state now.
    pub fn state(&self) -> BreakerState {
        self.state
    }

    /// Whether a request may be sent at `now`. Where it may, [`CircuitBreaker::record`] must follow.
    pub fn admit(&mut self, now: MonotonicTime) -> bool {
        if !self.would_admit(now) {
            return false;
        }
        if !matches!(self.state, BreakerState::Closed(_)) {
            self.state = BreakerState::HalfOpen(now);
        }
        true
    }

    /// What [`CircuitBreaker::admit`] would say, without starting a probe.
    pub fn would_admit(&self, now: MonotonicTime) -> bool {
        match self.state {
            BreakerState::Closed(_) => true,
            BreakerState::Open(until) => now >= until,
            BreakerState::HalfOpen(since) => now >= since + self.settings.probe_timeout,
        }
    }

    /// Takes what an admitted request showed.
    pub fn record(&mut self, now: MonotonicTime, health: StoreHealth, rng: &mut impl Rng) {
        if health == StoreHealth::Answering {
            self.state = BreakerState::Closed(0);
            self.next_open = self.settings.initial_open;
            return;
        }
        match self.state {
            BreakerState::Closed(failures) if failures + 1 < self.settings.failures_to_open => {
                self.state = BreakerState::Closed(failures + 1);
            }
            BreakerState::Closed(_) | BreakerState::HalfOpen(_) => self.open(now, rng),
            // A request sent before the breaker opened: nothing new.
            BreakerState::Open(_) => {}
        }
    }

    fn open(&mut self, now: MonotonicTime, rng: &mut impl Rng) {
        let jittered = self.next_open.mul_f64(rng.random_range(0.5..=1.0));
        self.state = BreakerState::Open(now + jittered);
        self.next_open = (self.next_open * 2).min(self.settings.max_open);
    }
}
