//! Least-squares line.

/// The line `y = intercept + slope * x` with the least sum of squared residuals.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LinearFit {
    /// Rise of y for each unit of x.
    pub slope: f64,
    /// y at x = 0.
    pub intercept: f64,
    /// Root of the mean squared residual, in units of y.
    pub residual: f64,
}

impl LinearFit {
    /// Fits `points`; `None` with fewer than two different x.
    pub fn of(points: &[(f64, f64)]) -> Option<Self> {
        let count = points.len() as f64;
        let mean_x = points.iter().map(|(x, _)| x).sum::<f64>() / count;
        let mean_y = points.iter().map(|(_, y)| y).sum::<f64>() / count;
        let spread: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
        if points.len() < 2 || spread == 0.0 {
            return None;
        }
        let product: f64 = points.iter().map(|(x, y)| (x - mean_x) * (y - mean_y)).sum();
        let slope = product / spread;
        let intercept = mean_y - slope * mean_x;
        let error = |(x, y): &(f64, f64)| (y - intercept - slope * x).powi(2);
        let residual = (points.iter().map(error).sum::<f64>() / count).sqrt();
        Some(Self { slope, intercept, residual })
    }

    /// y on the line at `x`.
    pub fn at(&self, x: f64) -> f64 {
        self.intercept + self.slope * x
    }
}
