//! Bound on retries by a bucket of tokens.

use super::{
    ThrottleSettings,
    recent_calls::{MICROS_PER_SECOND, THOUSANDTHS_PER_RETRY},
};
use crate::time::MonotonicTime;

/// Token bucket that calls and time fill.
///
/// Invariant: `tokens` never exceeds the burst, and never falls further below zero than it.
#[derive(Clone, Debug)]
pub(super) struct RetryBucket {
    settings: ThrottleSettings,
    /// Thousandths of a retry; below zero while repeats that could not be helped are paid back.
    tokens: i64,
    earned_at: MonotonicTime,
}

impl RetryBucket {
    /// A bucket with its burst tokens up.
    pub fn new(now: MonotonicTime, settings: ThrottleSettings) -> Self {
        let tokens = thousandths_of(settings.burst);
        Self { settings, tokens, earned_at: now }
    }

    /// Counts a first attempt into the service.
    pub fn record_call(&mut self) {
        self.earn(self.settings.per_call_thousandths);
    }

    /// Whether the service bears one more retry now; if so, it is counted.
    pub fn try_retry(&mut self, now: MonotonicTime) -> bool {
        self.earn_by_time(now);
        let is_granted = self.tokens >= thousandths_of(1);
        if is_granted {
            self.tokens -= thousandths_of(1);
        }
        is_granted
    }

    /// Takes back a retry that was granted and did not happen.
    pub fn refund(&mut self) {
        self.earn(THOUSANDTHS_PER_RETRY);
    }

    /// Counts a repeat that could not be helped.
    pub fn charge(&mut self) {
        self.tokens = (self.tokens - thousandths_of(1)).max(-self.max_saved());
    }

    fn earn(&mut self, thousandths: u64) {
        let earned = i64::try_from(thousandths).unwrap_or(i64::MAX);
        self.tokens = self.tokens.saturating_add(earned).min(self.max_saved());
    }

    /// Most that may be tokens.
    fn max_saved(&self) -> i64 {
        thousandths_of(self.settings.burst)
    }

    fn earn_by_time(&mut self, now: MonotonicTime) {
        let rate = self.settings.per_second_thousandths;
        if rate == 0 {
            return;
        }
        let elapsed = now.0.saturating_sub(self.earned_at.0);
        let thousandths = elapsed.saturating_mul(rate) / MICROS_PER_SECOND;
        if thousandths == 0 {
            return;
        }
        // The part that earned nothing yet counts towards the next time.
        self.earned_at.0 += thousandths.saturating_mul(MICROS_PER_SECOND) / rate;
        self.earn(thousandths);
    }
}

fn thousandths_of(retries: u64) -> i64 {
    i64::try_from(retries.saturating_mul(THOUSANDTHS_PER_RETRY)).unwrap_or(i64::MAX)
}
