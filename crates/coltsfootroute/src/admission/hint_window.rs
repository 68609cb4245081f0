//! Time within which a refused caller has to retry.

use std::time::Duration;

value_type! {
    /// Time within which a refused caller has to retry, so that the answer to the retry is still of full use to it.
    pub struct HintWindow {
        /// Latest retry, counted from the refusal; `None` if any retry is as useful as another.
        latest: Option<Duration>,
    }
}

impl HintWindow {
    /// Creates the window of a caller to whom an answer is of full use within `objective` of its request, of which `elapsed`
    /// has passed; the retry is expected to take `expected`. If the objective or the expected time is unknown, the
    /// window has no end.
    pub fn new(objective: Option<Duration>, elapsed: Duration, expected: Option<Duration>) -> Self {
        let latest = objective.zip(expected).map(|(objective, expected)| {
            objective.saturating_sub(elapsed).saturating_sub(expected)
        });
        Self { latest }
    }

    /// Returns the latest retry, counted from the refusal; zero if no retry can be in time, `None` if there is no bound.
    pub fn latest(self) -> Option<Duration> {
        self.latest
    }
}
