//! Remaining time of a call, as it travels between processes.

use std::time::Duration;

use crate::time::MonotonicTime;

value_type! {
    /// Whole milliseconds left until a call's deadline.
    ///
    /// Processes do not share a clock, so the deadline travels as the time that is left. Every
    /// conversion rounds down and every hop may only shorten it: a deadline is never extended.
    pub struct Remaining(pub u64);
}

impl Remaining {
    /// Time left at `now` until `deadline`, rounded down; zero if it has passed.
    pub fn until(now: MonotonicTime, deadline: MonotonicTime) -> Self {
        Self(whole_millis(deadline.since(now)))
    }

    /// The deadline on the clock of the process that received this at `now`.
    pub fn deadline(self, now: MonotonicTime) -> MonotonicTime {
        now + Duration::from_millis(self.0)
    }

    /// The shorter of what a client asked for and `most`; `most` where it asked for nothing.
    pub fn requested_or_max(requested: Option<Self>, max: Self) -> Self {
        requested.map_or(max, |remaining| remaining.min(max))
    }

    /// What is left for the next hop once `margin` is kept back for the way of the answer.
    pub fn minus_margin(self, margin: Duration) -> Self {
        let margin = u64::try_from(margin.as_micros().div_ceil(1_000)).unwrap_or(u64::MAX);
        Self(self.0.saturating_sub(margin))
    }

    /// Whether nothing is left.
    pub fn is_zero(self) -> bool {
        self.0 == 0
    }
}

fn whole_millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
