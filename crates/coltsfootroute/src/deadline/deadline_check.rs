//! Check of a call's deadline before it starts.

use std::time::Duration;

use super::DeadlineVerdict;
use crate::time::MonotonicTime;

/// Refuses calls that cannot finish in time, since they would waste capacity that other calls can use.
#[derive(Clone, Copy, Debug, Default)]
pub struct DeadlineCheck {
    margin: Duration,
}

impl DeadlineCheck {
    /// Creates a check that reserves `margin` for returning the response.
    pub fn new(margin: Duration) -> Self {
        Self { margin }
    }

    /// Decides at `now` on a call that must finish by `deadline` and takes `needed`, including its nested
    /// calls. A call with an unknown time (`None`) counts as needing only the margin.
    pub fn admit(
        &self,
        now: MonotonicTime,
        deadline: MonotonicTime,
        needed: Option<Duration>,
    ) -> DeadlineVerdict {
        let remaining = deadline.since(now);
        if remaining.is_zero() {
            return DeadlineVerdict::Passed;
        }
        let needed = needed.unwrap_or_default() + self.margin;
        if remaining < needed {
            return DeadlineVerdict::TooShort { remaining, needed };
        }
        DeadlineVerdict::Admitted
    }
}
