//! A token bucket that lends against future refill.

use std::time::Duration;

use crate::time::MonotonicTime;

record_type! {
    /// Tokens refilled at a steady rate up to a burst. A taker may be told to wait: its token is then
    /// already taken from future refill, so takers are served in the order in which they asked.
    pub struct TokenBucket {
        /// Tokens a second; above 0.
        rate: RateMilli,
        /// Most tokens kept, in thousandths.
        burst: i64,
        /// Tokens at hand in thousandths; negative while tokens are lent.
        level: i64,
        /// When `level` held.
        refilled_at: MonotonicTime,
    }
}

value_type! {
    /// A rate in thousandths of a token a second.
    struct RateMilli(i64);
}

/// Thousandths in one token.
const THOUSANDTHS_PER_TOKEN: i64 = 1_000;
const MICROS_PER_SECOND: i64 = 1_000_000;

impl TokenBucket {
    /// A full bucket. `rate` is in tokens a second; `burst` is at least one token.
    pub fn new(rate: f64, burst: f64) -> Self {
        let burst = ((burst * THOUSANDTHS_PER_TOKEN as f64) as i64).max(THOUSANDTHS_PER_TOKEN);
        let rate = RateMilli(((rate * THOUSANDTHS_PER_TOKEN as f64) as i64).max(1));
        Self { rate, burst, level: burst, refilled_at: MonotonicTime::ZERO }
    }

    /// Takes a token and leaves at least `reserve` tokens. Gives the time to wait before the token may
    /// be used, or `None`, taking nothing, where that is longer than `max_wait`.
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

    /// The bucket without any token, as of `now`.
    pub fn emptied(self, now: MonotonicTime) -> Self {
        Self { level: 0, refilled_at: now, ..self }
    }

    /// Takes up to `wanted` tokens; returns how many there were.
    pub fn acquire_up_to(&mut self, now: MonotonicTime, wanted: u32) -> u32 {
        self.refill(now);
        let whole = u32::try_from(self.level / THOUSANDTHS_PER_TOKEN).unwrap_or_default();
        let acquired = whole.min(wanted);
        self.level -= i64::from(acquired) * THOUSANDTHS_PER_TOKEN;
        acquired
    }

    /// Takes tokens that have been used already, if need be in advance: up to a full bucket.
    pub fn charge(&mut self, now: MonotonicTime, used: u32) {
        self.refill(now);
        self.level = (self.level - i64::from(used) * THOUSANDTHS_PER_TOKEN).max(-self.burst);
    }

    /// Time until there is a token, as of the last refill.
    pub fn time_until_token(&self) -> Duration {
        self.refill_time((THOUSANDTHS_PER_TOKEN - self.level).max(0))
    }

    /// Another rate and burst from `now` on; tokens beyond the burst are lost.
    pub fn set_limits(&mut self, now: MonotonicTime, rate: f64, burst: f64) {
        self.refill(now);
        let Self { rate, burst, .. } = Self::new(rate, burst);
        *self = Self { rate, burst, level: self.level.min(burst), ..*self };
    }

    fn refill(&mut self, now: MonotonicTime) {
        let elapsed = i64::try_from(now.since(self.refilled_at).as_micros()).unwrap_or(i64::MAX);
        let refill = elapsed.saturating_mul(self.rate.0) / MICROS_PER_SECOND;
        if refill == 0 {
            // Too short a time for a thousandth: keep the old time, so that the fraction isn't lost.
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
