//! A candidate for a call.

/// A candidate for a call.
#[derive(Clone, Copy, Debug)]
pub(super) struct UpstreamCandidate {
    /// Position in the pool.
    pub position: usize,
    /// Share of the call's importance that the guard admits, 0 to 1.
    pub admitted: f64,
    /// Expected cost; less is better.
    pub cost: f64,
}

/// Shares closer than this count as equal: what a caller has heard is a little old.
const SHARE_TOLERANCE: f64 = 0.05;

impl UpstreamCandidate {
    /// The same at so many times the cost.
    pub fn with_cost_factor(self, factor: f64) -> Self {
        Self { cost: self.cost * factor, ..self }
    }

    /// Whether this candidate is to be taken before `other`: by what the guards admit first, so that an
    /// important call is not refused at one guard while another of its service takes less important
    /// work; by cost where they admit alike.
    pub fn is_better_than(&self, other: &Self) -> bool {
        if (self.admitted - other.admitted).abs() > SHARE_TOLERANCE {
            return self.admitted > other.admitted;
        }
        self.cost < other.cost
    }
}
