//! Comparison of the upstreams that a call could go to.

/// An upstream that a call could go to.
#[derive(Clone, Copy, Debug)]
pub(super) struct UpstreamCandidate {
    /// Index of its record in the pool.
    pub position: usize,
    /// Share of calls of this importance that the guard admits, 0 to 1.
    pub admitted: f64,
    /// Expected wait in microseconds, weighted by preferences; lower is better.
    pub cost: f64,
    /// Calls at the guard for each call that may run, weighted by preferences; `None` if unknown.
    pub occupancy: Option<f64>,
}

/// Largest difference at which two admitted shares count as equal, because the shares that a caller knows are
/// slightly out of date.
const SHARE_TOLERANCE: f64 = 0.05;

/// Occupancy from which an upstream counts as full: below it, the calls that other callers send before the next report
/// still find free slots. Outside the own failure domain the occupancy counts for more than it is.
const FULL_OCCUPANCY: f64 = 0.9;
/// Smallest relative difference at which the occupancies of two full upstreams count as different.
const OCCUPANCY_TOLERANCE: f64 = 0.1;

impl UpstreamCandidate {
    /// Returns the candidate with its cost multiplied by `factor`.
    pub fn with_cost_factor(self, factor: f64) -> Self {
        Self { cost: self.cost * factor, ..self }
    }

    /// Returns the candidate with its known occupancy multiplied by `factor`.
    pub fn with_occupancy_factor(self, factor: f64) -> Self {
        Self { occupancy: self.occupancy.map(|occupancy| occupancy * factor), ..self }
    }

    /// Returns whether this candidate is preferred to `other`.
    ///
    /// Where the occupancies of both are known, an upstream with free slots is preferred to a full one, unless its guard
    /// admits no call of this importance: a call starts there at once, whatever share the guard admits. Of two full ones
    /// whose guards admit the same share, the less occupied one is preferred. Otherwise decides by what the caller has
    /// observed.
    pub fn is_better_than(&self, other: &Self) -> bool {
        self.is_less_occupied(other).unwrap_or_else(|| self.is_observed_better(other))
    }

    /// Returns whether the upstream is known to be full.
    pub fn is_full(&self) -> bool {
        self.occupancy.is_some_and(|occupancy| occupancy >= FULL_OCCUPANCY)
    }

    /// Returns whether the upstream is known to have free slots.
    pub fn has_free_slots(&self) -> bool {
        self.occupancy.is_some_and(|occupancy| occupancy < FULL_OCCUPANCY)
    }

    /// Returns whether this candidate is less occupied than `other`; `None` if that decides nothing.
    fn is_less_occupied(&self, other: &Self) -> Option<bool> {
        let (own, others) = (self.occupancy?, other.occupancy?);
        if self.is_full() != other.is_full() {
            let free = if self.is_full() { other } else { self };
            return (free.admitted > 0.0).then_some(other.is_full());
        }
        let is_equal_share = (self.admitted - other.admitted).abs() <= SHARE_TOLERANCE;
        let differs = (own - others).abs() > OCCUPANCY_TOLERANCE * own.min(others);
        (self.is_full() && is_equal_share && differs).then_some(own < others)
    }

    /// Returns whether this candidate is preferred to `other` by what the caller has observed.
    ///
    /// Compares the admitted shares first, so that an important call is not refused by one guard while another
    /// guard of the service admits less important calls. Compares the costs where the shares are equal.
    fn is_observed_better(&self, other: &Self) -> bool {
        if (self.admitted - other.admitted).abs() > SHARE_TOLERANCE {
            return self.admitted > other.admitted;
        }
        self.cost < other.cost
    }
}
