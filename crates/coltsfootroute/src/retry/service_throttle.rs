//! Bound on the retries into one service.

use super::{
    ThrottleSettings,
    recent_calls::{RecentCalls, SECOND_MICROS},
};
use crate::time::MonotonicTime;

/// Token bucket that bounds the retries of this node into one service to a share of its calls,
/// whichever client requests they belong to.
///
/// Invariant: `saved` never exceeds the most that may be saved, and never falls further below zero than it.
/// In any span as long as the time of saving at most twice its earnings are spent.
#[derive(Clone, Debug)]
pub struct ServiceThrottle {
    settings: ThrottleSettings,
    recent: RecentCalls,
    /// Thousandths of a retry; below zero while repeats that could not be helped are paid back.
    saved: i64,
    earned_at: MonotonicTime,
}

/// Thousandths of a retry in a retry.
const WHOLE: i64 = 1_000;

impl ServiceThrottle {
    /// A throttle with its burst saved up.
    pub fn new(now: MonotonicTime, settings: ThrottleSettings) -> Self {
        let saved = thousandths_of(settings.burst);
        let recent = RecentCalls::new(settings.saving_seconds);
        Self { settings, recent, saved, earned_at: now }
    }

    /// Counts a first attempt into the service.
    pub fn call(&mut self, now: MonotonicTime) {
        self.recent.count(now);
        self.earn(self.settings.per_call_thousandths);
    }

    /// Whether the service bears one more retry now; if so, it is counted.
    pub fn try_retry(&mut self, now: MonotonicTime) -> bool {
        self.earn_by_time(now);
        if self.saved < WHOLE {
            return false;
        }
        self.saved -= WHOLE;
        true
    }

    /// Gives back a retry that did not happen, because the account denied it.
    pub fn give_back(&mut self) {
        self.earn(WHOLE.unsigned_abs());
    }

    /// Counts a repeat that could not be helped: a first attempt of a call below work that is itself run
    /// again.
    pub fn charge(&mut self) {
        self.saved = (self.saved - WHOLE).max(-self.most());
    }

    fn earn(&mut self, thousandths: u64) {
        let earned = i64::try_from(thousandths).unwrap_or(i64::MAX);
        self.saved = self.saved.saturating_add(earned).min(self.most());
    }

    /// Most that may be saved.
    fn most(&self) -> i64 {
        let earned = self.recent.total().saturating_mul(self.settings.per_call_thousandths);
        let earned = i64::try_from(earned).unwrap_or(i64::MAX);
        thousandths_of(self.settings.burst).max(earned)
    }

    fn earn_by_time(&mut self, now: MonotonicTime) {
        let rate = self.settings.per_second_thousandths;
        if rate == 0 {
            return;
        }
        let elapsed = now.0.saturating_sub(self.earned_at.0);
        let thousandths = elapsed.saturating_mul(rate) / SECOND_MICROS;
        if thousandths == 0 {
            return;
        }
        // The part that earned nothing yet counts towards the next time.
        self.earned_at.0 += thousandths.saturating_mul(SECOND_MICROS) / rate;
        self.earn(thousandths);
    }
}

fn thousandths_of(retries: u64) -> i64 {
    i64::try_from(retries).unwrap_or(i64::MAX / WHOLE).saturating_mul(WHOLE)
}
