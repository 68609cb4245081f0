//! Circuit breaker in front of the table service.

use std::time::Duration;

use rand::{Rng, RngExt};

use super::StoreHealth;
use crate::time::MonotonicTime;

record_type! {
    /// Settings of a [`CircuitBreaker`].
    pub struct BreakerSettings {
        /// Number of consecutive failures that open the breaker; at least 1.
        pub failures_to_open: u32,
        /// Time for which it stays open at first; doubles with each failed probe.
        pub initial_open: Duration,
        /// Maximum time for which it stays open.
        pub max_open: Duration,
        /// Time after which a probe without a result is considered failed.
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
        /// Requests pass; holds the number of consecutive failures.
        Closed(u32),
        /// No request passes until the given time.
        Open(MonotonicTime),
        /// One probe has been in flight since the given time.
        HalfOpen(MonotonicTime),
    }
}

record_type! {
    /// Circuit breaker that rejects requests while the service is failing and admits one probe at a time.
    pub struct CircuitBreaker {
        settings: BreakerSettings,
        state: BreakerState,
        /// Time for which the breaker stays open the next time that it opens, before jitter.
        next_open: Duration,
    }
}

impl CircuitBreaker {
    /// Creates a closed breaker.
    pub fn new(settings: BreakerSettings) -> Self {
        let next_open = settings.initial_open;
        Self { settings, state: BreakerState::Closed(0), next_open }
    }

    /// Returns the state, which changes only with admitted requests and recorded results.
    pub fn state(&self) -> BreakerState {
        self.state
    }

    /// Returns whether a request may be sent at `now`, and starts a probe if the breaker isn't closed. After each
    /// admitted request, the caller must call [`CircuitBreaker::record`].
    pub fn admit(&mut self, now: MonotonicTime) -> bool {
        if !self.would_admit(now) {
            return false;
        }
        if !matches!(self.state, BreakerState::Closed(_)) {
            self.state = BreakerState::HalfOpen(now);
        }
        true
    }

    /// Returns what [`CircuitBreaker::admit`] would return, without starting a probe.
    pub fn would_admit(&self, now: MonotonicTime) -> bool {
        match self.state {
            BreakerState::Closed(_) => true,
            BreakerState::Open(until) => now >= until,
            BreakerState::HalfOpen(since) => now >= since + self.settings.probe_timeout,
        }
    }

    /// Records the result of an admitted request.
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
            // The request was sent before the breaker opened, so its failure is already accounted for.
            BreakerState::Open(_) => {}
        }
    }

    fn open(&mut self, now: MonotonicTime, rng: &mut impl Rng) {
        let jittered = self.next_open.mul_f64(rng.random_range(0.5..=1.0));
        self.state = BreakerState::Open(now + jittered);
        self.next_open = (self.next_open * 2).min(self.settings.max_open);
    }
}
