//! Token bucket that can lend tokens against future refill.

use std::time::Duration;

use crate::time::MonotonicTime;

record_type! {
    /// Token bucket that is refilled at a constant rate up to a burst.
    ///
    /// A caller may have to wait for its token, which is then already deducted from future refill, so callers are
    /// served in the order of their requests.
    pub struct TokenBucket {
        /// Refill rate; above 0.
        rate: TokenRate,
        /// Capacity in thousandths of a token.
        burst: i64,
        /// Available tokens in thousandths; negative while tokens are lent.
        level: i64,
        /// Time to which `level` applies.
        refilled_at: MonotonicTime,
    }
}

value_type! {
    /// Rate in thousandths of a token per second.
    struct TokenRate(i64);
}

const THOUSANDTHS_PER_TOKEN: i64 = 1_000;
const MICROS_PER_SECOND: i64 = 1_000_000;

impl TokenBucket {
    /// Creates a full bucket. `rate` is in tokens per second; a `burst` below one token counts as one.
    pub fn new(rate: f64, burst: f64) -> Self {
        let burst = ((burst * THOUSANDTHS_PER_TOKEN as f64) as i64).max(THOUSANDTHS_PER_TOKEN);
        let rate = TokenRate(((rate * THOUSANDTHS_PER_TOKEN as f64) as i64).max(1));
        Self { rate, burst, level: burst, refilled_at: MonotonicTime::ZERO }
    }

    /// Acquires a token, leaving at least `reserve` tokens. Returns the time to wait before the token may be used, or
    /// `None`, without acquiring a token, if that is longer than `max_wait`.
    pub fn acquire(
        &mut self,
        now: MonotonicTime,
        reserve: f64,
        max_wait: Duration,
    ) -> Option<Duration> {
        self.refill(now);
        let reserve = (reserve * THOUSANDTHS_PER_TOKEN as f64) as i64;
        let missing = (THOUSANDTHS_PER_TOKEN + reserve - self.level).max(0);
        let wait = self.refill_time(missing);
        if wait > max_wait {
            return None;
        }
        self.level -= THOUSANDTHS_PER_TOKEN;
        Some(wait)
    }

    /// Returns the bucket with all tokens removed at `now`.
    pub fn emptied(self, now: MonotonicTime) -> Self {
        Self { level: 0, refilled_at: now, ..self }
    }

    /// Acquires up to `wanted` available tokens and returns the number acquired.
    pub fn acquire_up_to(&mut self, now: MonotonicTime, wanted: u32) -> u32 {
        self.refill(now);
        let acquired = self.available().min(wanted);
        self.level -= i64::from(acquired) * THOUSANDTHS_PER_TOKEN;
        acquired
    }

    /// Acquires `wanted` tokens if all are available; returns whether they were.
    pub fn try_acquire_all(&mut self, now: MonotonicTime, wanted: u32) -> bool {
        self.refill(now);
        let is_available = self.available() >= wanted;
        if is_available {
            self.level -= i64::from(wanted) * THOUSANDTHS_PER_TOKEN;
        }
        is_available
    }

    /// Deducts tokens that have already been used. The level may become negative, down to minus the burst.
    pub fn charge(&mut self, now: MonotonicTime, used: u32) {
        self.refill(now);
        self.level = (self.level - i64::from(used) * THOUSANDTHS_PER_TOKEN).max(-self.burst);
    }

    /// Returns the time from the last refill until a token is available.
    pub fn time_until_token(&self) -> Duration {
        self.refill_time((THOUSANDTHS_PER_TOKEN - self.level).max(0))
    }

    /// Changes the rate and the burst from `now` on; tokens beyond the new burst are lost.
    pub fn set_limits(&mut self, now: MonotonicTime, rate: f64, burst: f64) {
        self.refill(now);
        let Self { rate, burst, .. } = Self::new(rate, burst);
        *self = Self { rate, burst, level: self.level.min(burst), ..*self };
    }

    /// Returns the number of whole tokens that were available at the last refill.
    pub fn available(&self) -> u32 {
        u32::try_from(self.level / THOUSANDTHS_PER_TOKEN).unwrap_or_default()
    }

    /// Returns the thousandths of a token that were available at the last refill; 0 while tokens are lent.
    pub fn level_milli(&self) -> u64 {
        u64::try_from(self.level).unwrap_or_default()
    }

    /// Returns the refill rate in tokens per second.
    pub fn rate(&self) -> f64 {
        self.rate.0 as f64 / THOUSANDTHS_PER_TOKEN as f64
    }

    /// Returns the number of tokens that can be acquired one after the other within `delay` of the last refill.
    pub fn tokens_within(&self, delay: Duration) -> u32 {
        let micros = i64::try_from(delay.as_micros()).unwrap_or(i64::MAX);
        let refill = micros.saturating_mul(self.rate.0) / MICROS_PER_SECOND;
        let whole = self.level.saturating_add(refill) / THOUSANDTHS_PER_TOKEN;
        u32::try_from(whole.max(0)).unwrap_or(u32::MAX)
    }

    /// Returns the first time at which a refill makes a token available.
    pub fn next_token_at(&self) -> MonotonicTime {
        let missing = (THOUSANDTHS_PER_TOKEN - self.level).max(0);
        let micros = missing.saturating_mul(MICROS_PER_SECOND).div_euclid(self.rate.0);
        let rest = i64::from(missing.saturating_mul(MICROS_PER_SECOND) % self.rate.0 > 0);
        self.refilled_at + Duration::from_micros((micros + rest).unsigned_abs())
    }

    /// Adds the tokens that have accrued by `now`.
    pub fn refill(&mut self, now: MonotonicTime) {
        let elapsed = i64::try_from(now.since(self.refilled_at).as_micros()).unwrap_or(i64::MAX);
        let refill = elapsed.saturating_mul(self.rate.0) / MICROS_PER_SECOND;
        if refill == 0 {
            // The time is too short for a thousandth; keeping the old time preserves the fraction.
            return;
        }
        self.level = self.level.saturating_add(refill).min(self.burst);
        self.refilled_at = now;
    }

    fn refill_time(&self, missing: i64) -> Duration {
        let micros = missing.saturating_mul(MICROS_PER_SECOND) / self.rate.0;
        Duration::from_micros(micros.unsigned_abs())
    }
}
