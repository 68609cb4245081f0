//! Windows of higher demand.

use std::{str::FromStr, time::Duration};

/// A factor on the rate of all operations, or of one, during part of the run.
#[derive(Clone, Debug, PartialEq)]
pub struct SurgeWindow {
    /// Begin, from the start of the load.
    pub begin: Duration,
    /// End, from the start of the load.
    pub end: Duration,
    /// Factor on the rate; not negative.
    pub factor: f64,
    /// `service/operation`; all operations where absent.
    pub operation: Option<String>,
}

impl SurgeWindow {
    /// Whether the window covers `time`.
    pub fn covers(&self, time: Duration) -> bool {
        self.begin <= time && time < self.end
    }

    /// Whether the window concerns the operation called `name`.
    pub fn concerns(&self, name: &str) -> bool {
        self.operation.as_deref().is_none_or(|operation| operation == name)
    }
}

impl FromStr for SurgeWindow {
    type Err = String;

    /// Reads `BEGIN_MS:END_MS:FACTOR` or `BEGIN_MS:END_MS:FACTOR:SERVICE/OPERATION`.
    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let fail = || format!("`{text}`: expected BEGIN_MS:END_MS:FACTOR[:SERVICE/OPERATION]");
        let mut parts = text.splitn(4, ':');
        let mut next = || parts.next().ok_or_else(fail);
        let begin = next()?.parse().map_err(|_| fail())?;
        let end = next()?.parse().map_err(|_| fail())?;
        let factor: f64 = next()?.parse().map_err(|_| fail())?;
        if !(factor.is_finite() && factor >= 0.0) {
            return Err(fail());
        }
        let operation = parts.next().map(str::to_owned);
        Ok(Self {
            begin: Duration::from_millis(begin),
            end: Duration::from_millis(end),
            factor,
            operation,
        })
    }
}
