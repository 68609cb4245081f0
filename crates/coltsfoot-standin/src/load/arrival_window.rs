//! Part of a run with arrivals of a special kind.

use std::{str::FromStr, time::Duration};

/// Begin and end, from the start of the load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ArrivalWindow {
    /// Begin.
    pub begin: Duration,
    /// End.
    pub end: Duration,
}

impl ArrivalWindow {
    /// Whether the window covers `time`.
    pub fn covers(&self, time: Duration) -> bool {
        self.begin <= time && time < self.end
    }
}

impl FromStr for ArrivalWindow {
    type Err = String;

    /// Reads `BEGIN_MS:END_MS`.
    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let fail = || format!("`{text}`: expected BEGIN_MS:END_MS");
        let (begin, end) = text.split_once(':').ok_or_else(fail)?;
        let begin = Duration::from_millis(begin.parse().map_err(|_| fail())?);
        let end = Duration::from_millis(end.parse().map_err(|_| fail())?);
        Ok(Self { begin, end })
    }
}
