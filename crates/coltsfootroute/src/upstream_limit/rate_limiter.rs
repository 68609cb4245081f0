//! Rate limiter in front of an upstream that names a limit.

use std::time::Duration;

use super::RequestRate;
use crate::{table::TokenBucket, time::MonotonicTime};

/// Time whose calls may be sent at once after a pause.
const BURST_TIME: Duration = Duration::from_millis(250);
/// Lowest rate in requests per second. An upstream that is sent nothing could not say that its limit is lifted.
const MIN_PER_SECOND: f64 = 0.5;
/// Time in which the rate doubles after the limit is lifted, so that the load returns gradually.
const DOUBLING_TIME: Duration = Duration::from_millis(500);
/// Time after the lifting of a limit from which the rate is unlimited.
const RELEASE_TIME: Duration = Duration::from_secs(4);

/// Limits the calls that are sent to an upstream to the rate that it names.
///
/// Invariant: in any span, at most the limit times the span and a burst of [`BURST_TIME`] (at least one call) are sent.
/// A limiter starts empty, so that neither a restart nor a new limit grants a burst.
#[derive(Clone, Debug, Default)]
pub struct RateLimiter {
    state: LimiterState,
}

#[derive(Clone, Debug, Default)]
enum LimiterState {
    #[default]
    Unlimited,
    Limited {
        rate: RequestRate,
        bucket: TokenBucket,
    },
    /// The limit was lifted; the rate grows.
    Releasing {
        /// Limit before, in requests per second.
        initial: f64,
        since: MonotonicTime,
        bucket: TokenBucket,
    },
}

impl RateLimiter {
    /// Creates a limiter without a limit.
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets the limit that the upstream names; `None` lifts it gradually.
    pub fn set_limit(&mut self, now: MonotonicTime, limit: Option<RequestRate>) {
        let state = std::mem::take(&mut self.state);
        self.state = match (state, limit) {
            (LimiterState::Unlimited, None) => LimiterState::Unlimited,
            (LimiterState::Unlimited, Some(rate)) => {
                let per_second = effective_rate(rate);
                let bucket = TokenBucket::new(per_second, burst(per_second)).emptied(now);
                LimiterState::Limited { rate, bucket }
            }
            (
                LimiterState::Limited { mut bucket, .. }
                | LimiterState::Releasing { mut bucket, .. },
                Some(rate),
            ) => {
                let per_second = effective_rate(rate);
                bucket.set_limits(now, per_second, burst(per_second));
                LimiterState::Limited { rate, bucket }
            }
            (LimiterState::Limited { rate, bucket }, None) => {
                LimiterState::Releasing { initial: effective_rate(rate), since: now, bucket }
            }
            (releasing @ LimiterState::Releasing { .. }, None) => releasing,
        };
    }

    /// Adds the tokens that have accrued by `now`.
    pub fn advance(&mut self, now: MonotonicTime) {
        match &mut self.state {
            LimiterState::Unlimited => {}
            LimiterState::Limited { bucket, .. } => bucket.refill(now),
            LimiterState::Releasing { initial, since, bucket } => {
                let elapsed = now.since(*since);
                if elapsed >= RELEASE_TIME {
                    self.state = LimiterState::Unlimited;
                    return;
                }
                let doublings = elapsed.as_secs_f64() / DOUBLING_TIME.as_secs_f64();
                let per_second = *initial * doublings.exp2();
                bucket.set_limits(now, per_second, burst(per_second));
            }
        }
    }

    /// Returns whether a call may be sent at the time of the last [`RateLimiter::advance`].
    pub fn has_token(&self) -> bool {
        self.bucket().is_none_or(|bucket| bucket.available() > 0)
    }

    /// Counts a call that is sent.
    pub fn acquire(&mut self, now: MonotonicTime) {
        if let LimiterState::Limited { bucket, .. } | LimiterState::Releasing { bucket, .. } =
            &mut self.state
        {
            bucket.acquire_up_to(now, 1);
        }
    }

    /// Returns the time from which a call may be sent; `None` if none has to wait.
    pub fn next_token_at(&self) -> Option<MonotonicTime> {
        let bucket = self.bucket().filter(|bucket| bucket.available() == 0)?;
        Some(bucket.next_token_at())
    }

    /// Returns the number of calls that may be sent within `delay` of the last [`RateLimiter::advance`].
    pub fn tokens_within(&self, delay: Duration) -> u32 {
        self.bucket().map_or(u32::MAX, |bucket| bucket.tokens_within(delay))
    }

    /// Returns the calls per second that may be sent; infinite without a limit.
    pub fn capacity(&self) -> f64 {
        self.bucket().map_or(f64::INFINITY, TokenBucket::rate)
    }

    /// Returns the limit that applies; `None` if there is none, or it was lifted.
    pub fn limit(&self) -> Option<RequestRate> {
        match &self.state {
            LimiterState::Limited { rate, .. } => Some(*rate),
            LimiterState::Unlimited | LimiterState::Releasing { .. } => None,
        }
    }

    /// Returns the tokens that are left, in thousandths; `None` without a limit.
    pub fn tokens_milli(&self) -> Option<u64> {
        self.bucket().map(TokenBucket::level_milli)
    }

    fn bucket(&self) -> Option<&TokenBucket> {
        match &self.state {
            LimiterState::Unlimited => None,
            LimiterState::Limited { bucket, .. } | LimiterState::Releasing { bucket, .. } => {
                Some(bucket)
            }
        }
    }
}

fn effective_rate(rate: RequestRate) -> f64 {
    rate.per_second().max(MIN_PER_SECOND)
}

/// Returns the number of calls that may be sent at once; the bucket raises it to one.
fn burst(per_second: f64) -> f64 {
    per_second * BURST_TIME.as_secs_f64()
}
