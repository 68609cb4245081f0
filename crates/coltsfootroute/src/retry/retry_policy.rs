//! Decision whether to retry a failed attempt.

use std::time::Duration;

use rand::{Rng, RngExt};

use super::{FailedAttempt, GiveUpCause, RetryDecision, RetrySettings};
use crate::{
    outcome::{CallOutcome, RefusalReason},
    time::MonotonicTime,
};

/// Decides whether a retry is safe and useful. The request's account then decides whether it is granted.
#[derive(Clone, Debug, Default)]
pub struct RetryPolicy {
    settings: RetrySettings,
}

impl RetryPolicy {
    /// Creates a policy with `settings`.
    pub fn new(settings: RetrySettings) -> Self {
        Self { settings }
    }

    /// Decides whether to retry after `attempt`. A retry goes to a different upstream than the earlier attempts.
    pub fn decide(
        &self,
        now: MonotonicTime,
        rng: &mut impl Rng,
        attempt: &FailedAttempt,
    ) -> RetryDecision {
        if let Some(cause) = self.give_up_cause(attempt) {
            return RetryDecision::GiveUp(cause);
        }
        let backoff = self.backoff(rng, attempt);
        let expected = attempt.expected.unwrap_or_default();
        if attempt.deadline <= now + backoff + expected {
            return RetryDecision::GiveUp(GiveUpCause::TooLate);
        }
        RetryDecision::Retry { backoff }
    }

    fn give_up_cause(&self, attempt: &FailedAttempt) -> Option<GiveUpCause> {
        if attempt.outcome == CallOutcome::Completed {
            return Some(GiveUpCause::Completed);
        }
        if attempt.outcome == CallOutcome::Unknown && !attempt.repeatable {
            return Some(GiveUpCause::NotRepeatable);
        }
        if attempt.reason.is_some_and(is_final) {
            return Some(GiveUpCause::Final);
        }
        if attempt.failed_below {
            return Some(GiveUpCause::FailedBelow);
        }
        if attempt.reason == Some(RefusalReason::Deadline) {
            return Some(GiveUpCause::TooLate);
        }
        if attempt.shedding {
            return Some(GiveUpCause::Shedding);
        }
        let own_max = self.settings.max_attempts;
        let bound = attempt.max_attempts.map_or(own_max, |max| max.min(own_max));
        // Rejected attempts do not count, because they cost the upstream almost nothing.
        let counted = attempt.attempts.saturating_sub(attempt.rejections);
        let is_spent = counted >= bound || attempt.attempts >= self.settings.max_sends;
        is_spent.then_some(GiveUpCause::AttemptsSpent)
    }

    fn backoff(&self, rng: &mut impl Rng, attempt: &FailedAttempt) -> Duration {
        // A leaving upstream is no sign of overload, so another one can be tried immediately.
        if attempt.reason == Some(RefusalReason::Leaving) {
            return Duration::ZERO;
        }
        let doublings = attempt.attempts.saturating_sub(1).min(MAX_DOUBLINGS);
        let max_backoff = self.settings.initial_backoff.saturating_mul(1 << doublings);
        let max_backoff = max_backoff.min(self.settings.max_backoff);
        let micros = u64::try_from(max_backoff.as_micros()).unwrap_or(u64::MAX);
        Duration::from_micros(rng.random_range(0..=micros))
    }
}

/// Maximum number of times that the backoff is doubled; keeps the factor within 32 bits.
const MAX_DOUBLINGS: u32 = 16;

/// Returns whether a retry is of no use: every upstream would refuse the call for the same reason, or, for the limits that
/// upstreams name, the call has been rerouted to others already.
fn is_final(reason: RefusalReason) -> bool {
    match reason {
        RefusalReason::KeyConflict
        | RefusalReason::KeyExpired
        | RefusalReason::KeyInProgress
        | RefusalReason::StoreUnavailable
        | RefusalReason::UnknownOperation
        | RefusalReason::RetryBudget
        | RefusalReason::UpstreamLimit
        | RefusalReason::BadRequest
        | RefusalReason::Quarantined
        | RefusalReason::UnknownKey
        | RefusalReason::StaleConfiguration
        | RefusalReason::RateLimited
        | RefusalReason::RateUnknown
        | RefusalReason::Orphaned => true,
        RefusalReason::Overload
        | RefusalReason::Leaving
        | RefusalReason::NoUpstream
        | RefusalReason::Deadline
        | RefusalReason::UpstreamFailed
        | RefusalReason::NoConfiguration => false,
    }
}
