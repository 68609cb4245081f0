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
}

/// Largest difference at which two admitted shares count as equal, because the shares that a caller knows are
/// slightly out of date.
const SHARE_TOLERANCE: f64 = 0.05;

impl UpstreamCandidate {
    /// Returns the candidate with its cost multiplied by `factor`.
    pub fn with_cost_factor(self, factor: f64) -> Self {
        Self { cost: self.cost * factor, ..self }
    }

    /// Returns whether this candidate is preferred to `other`.
    ///
    /// Compares the admitted shares first, so that an important call is not refused by one guard while another
    /// guard of the service admits less important calls. Compares the costs where the shares are equal.
    pub fn is_better_than(&self, other: &Self) -> bool {
        if (self.admitted - other.admitted).abs() > SHARE_TOLERANCE {
            return self.admitted > other.admitted;
        }
        self.cost < other.cost
    }
}
