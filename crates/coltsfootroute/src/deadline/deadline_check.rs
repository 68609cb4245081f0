//! Check of a call's deadline before any work is done for it.

use std::time::Duration;

use super::DeadlineVerdict;
use crate::time::MonotonicTime;

/// Refuses calls that cannot finish: their work would be wasted and would crowd out calls that can.
#[derive(Clone, Copy, Debug, Default)]
pub struct DeadlineCheck {
    margin: Duration,
}

impl DeadlineCheck {
    /// A check that keeps `margin` back for the way of the answer.
    pub fn new(margin: Duration) -> Self {
        Self { margin }
    }

    /// Decides at `now` on a call with `deadline` that takes `needed`, the rest of the chain included;
    /// `None` where too little is known, which admits.
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
