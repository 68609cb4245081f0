//! Token bucket that bounds retries.

use super::{
    ThrottleSettings,
    recent_calls::{MICROS_PER_SECOND, THOUSANDTHS_PER_RETRY},
};
use crate::time::MonotonicTime;

/// Token bucket that is refilled by calls and by time.
///
/// Invariant: `tokens` is between minus the burst and the burst.
#[derive(Clone, Debug)]
pub(super) struct RetryBucket {
    settings: ThrottleSettings,
    /// Available tokens in thousandths of a retry; negative while unavoidable repeats are still to be compensated.
    tokens: i64,
    earned_at: MonotonicTime,
}

impl RetryBucket {
    /// Creates a bucket that holds its full burst.
    pub fn new(now: MonotonicTime, settings: ThrottleSettings) -> Self {
        let tokens = thousandths_of(settings.burst);
        Self { settings, tokens, earned_at: now }
    }

    /// Records a first attempt to the service, which adds tokens.
    pub fn record_call(&mut self) {
        self.earn(self.settings.per_call_thousandths);
    }

    /// Acquires a token for one retry; returns whether it was granted.
    pub fn try_retry(&mut self, now: MonotonicTime) -> bool {
        self.earn_by_time(now);
        let is_granted = self.tokens >= thousandths_of(1);
        if is_granted {
            self.tokens -= thousandths_of(1);
        }
        is_granted
    }

    /// Refunds the token of a granted retry that was not sent.
    pub fn refund(&mut self) {
        self.earn(THOUSANDTHS_PER_RETRY);
    }

    /// Charges a token for an unavoidable repeat, down to minus the burst.
    pub fn charge(&mut self) {
        self.tokens = (self.tokens - thousandths_of(1)).max(-self.max_tokens());
    }

    fn earn(&mut self, thousandths: u64) {
        let earned = i64::try_from(thousandths).unwrap_or(i64::MAX);
        self.tokens = self.tokens.saturating_add(earned).min(self.max_tokens());
    }

    /// Returns the maximum number of tokens, the burst, in thousandths of a retry.
    fn max_tokens(&self) -> i64 {
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
        // Keeps the elapsed time that has not yet earned a thousandth for the next refill.
        self.earned_at.0 += thousandths.saturating_mul(MICROS_PER_SECOND) / rate;
        self.earn(thousandths);
    }
}

fn thousandths_of(retries: u64) -> i64 {
    i64::try_from(retries.saturating_mul(THOUSANDTHS_PER_RETRY)).unwrap_or(i64::MAX)
}
