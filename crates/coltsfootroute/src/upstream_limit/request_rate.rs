//! Rate of requests.

value_type! {
    /// Rate of requests, in thousandths of a request per second.
    #[derive(serde::Serialize, serde::Deserialize)]
    #[serde(transparent)]
    pub struct RequestRate(pub u64);
}

const THOUSANDTHS_PER_REQUEST: f64 = 1_000.0;
/// Largest rate, in requests per second; larger ones are equivalent to it.
const MAX_PER_SECOND: f64 = 1e9;

impl RequestRate {
    /// Creates a rate from requests per second, rounded down; negative values and NaN count as 0.
    pub fn from_per_second(per_second: f64) -> Self {
        Self((per_second.clamp(0.0, MAX_PER_SECOND) * THOUSANDTHS_PER_REQUEST) as u64)
    }

    /// Parses a decimal number of requests per second; `None` if the text is no finite number from 0 up.
    pub fn parse(text: &str) -> Option<Self> {
        let per_second: f64 = text.trim().parse().ok()?;
        let is_rate = per_second.is_finite() && per_second.is_sign_positive();
        is_rate.then(|| Self::from_per_second(per_second))
    }

    /// Returns the requests per second.
    pub fn per_second(self) -> f64 {
        self.0 as f64 / THOUSANDTHS_PER_REQUEST
    }
}
