//! Probability with which a request of a team is admitted.

/// Probability with which a request of a team is admitted, and the values from which it follows.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TeamDraw {
    /// Fraction of the importance that the shed level admits.
    pub fraction: f64,
    /// Probability of admission, between 0 and 1.
    pub probability: f64,
    /// Usage up to which requests are always admitted (λ), as a fraction of the rate; `None` if it does not apply.
    pub limit: Option<f64>,
}

/// Smallest relative difference from the mean at which a probability counts as reduced; smaller ones come from rounding.
const TOLERANCE: f64 = 0.01;

impl TeamDraw {
    /// Returns whether the request is less likely to be admitted than the mean of its importance.
    pub fn is_reduced(&self) -> bool {
        self.probability < self.fraction * (1.0 - TOLERANCE)
    }
}
