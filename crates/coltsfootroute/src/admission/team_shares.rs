//! Division of what a shed level admits of one importance between teams.

use std::time::Duration;

use super::{team_draw::TeamDraw, usage_histogram::UsageHistogram};
use crate::{importance::Importance, quota::RateUsage, time::MonotonicTime};

/// Shortest time between two reports of shares.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Division of the fraction that a shed level admits of one importance between teams: max-min fair by how far each team
/// uses its rate.
///
/// A request is admitted with probability min(1, λ / usage), with λ such that the mean over the recent requests of that
/// importance is the admitted fraction. The state does not grow with the number of teams.
#[derive(Clone, Debug)]
pub struct TeamShares {
    /// Recent requests of each importance to which such a fraction applied.
    recent: [UsageHistogram; Importance::COUNT],
    reported_at: Option<MonotonicTime>,
}

impl TeamShares {
    /// Creates a state without recent requests.
    pub fn new() -> Self {
        Self { recent: Importance::ALL.map(|_| UsageHistogram::new()), reported_at: None }
    }

    /// Returns the probability with which to admit a request of a team with `usage`, where the level admits `fraction` of
    /// the requests of this importance. A request of unknown usage is admitted as without shares, so that the mean over the
    /// others stays that fraction.
    pub fn draw(
        &mut self,
        now: MonotonicTime,
        importance: Importance,
        fraction: f64,
        usage: Option<RateUsage>,
    ) -> TeamDraw {
        // All or none of this importance is admitted, whatever its teams use.
        if !(fraction > 0.0 && fraction < 1.0) {
            // `max` also replaces a value that is not a number.
            return TeamDraw { fraction, probability: fraction.max(0.0), limit: None };
        }
        let Some(usage) = usage else {
            return TeamDraw { fraction, probability: fraction, limit: None };
        };
        let recent = &mut self.recent[importance.index()];
        let ratio = recent.record(now, usage);
        let limit = recent.limit(fraction);
        let probability = limit.map_or(1.0, |limit| (limit / ratio).clamp(0.0, 1.0));
        TeamDraw { fraction, probability, limit }
    }

    /// Returns whether a report of shares is due at `now`, and if so records it as made.
    pub fn is_report_due(&mut self, now: MonotonicTime) -> bool {
        let is_due = self.reported_at.is_none_or(|last| now.since(last) >= REPORT_INTERVAL);
        if is_due {
            self.reported_at = Some(now);
        }
        is_due
    }
}

impl Default for TeamShares {
    fn default() -> Self {
        Self::new()
    }
}
