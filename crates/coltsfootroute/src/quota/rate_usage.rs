//! How far a team uses its rate.

value_type! {
    /// Requests a second of a team over all nodes, in hundredths of its rate; at least 1.
    pub struct RateUsage(u16);
}

/// Hundredths of a rate that make the whole rate.
const HUNDREDTHS: f64 = 100.0;
/// Smallest usage, in hundredths of the rate; 0 stands for an unknown usage between nodes.
const MIN_HUNDREDTHS: u16 = 1;

impl RateUsage {
    /// Creates a usage from requests a second divided by the rate. A value below the smallest usage, or one that is not a
    /// number, counts as the smallest.
    pub fn from_ratio(ratio: f64) -> Self {
        // The cast saturates, and turns a value that is not a number into 0.
        Self(((ratio * HUNDREDTHS).round() as u16).max(MIN_HUNDREDTHS))
    }

    /// Reads a usage in hundredths of the rate, as sent between nodes; `None` if it is 0, which means not reported.
    pub fn from_percent(percent: u16) -> Option<Self> {
        (percent >= MIN_HUNDREDTHS).then_some(Self(percent))
    }

    /// Returns the usage in hundredths of the rate, as sent between nodes.
    pub fn percent(self) -> u16 {
        self.0
    }

    /// Returns requests a second divided by the rate; above 0.
    pub fn ratio(self) -> f64 {
        f64::from(self.0) / HUNDREDTHS
    }
}
