//! Remaining time of a call, as sent between processes.

use std::time::Duration;

use crate::time::MonotonicTime;

value_type! {
    /// Time until a call's deadline, in whole milliseconds.
    ///
    /// Processes do not share a clock, so the deadline is sent as the remaining time. Every
    /// conversion rounds down and a hop may only shorten the time, so a deadline is never extended.
    pub struct Remaining(pub u64);
}

impl Remaining {
    /// Returns the time from `now` until `deadline`, rounded down; zero if the deadline has passed.
    pub fn until(now: MonotonicTime, deadline: MonotonicTime) -> Self {
        Self(whole_millis(deadline.since(now)))
    }

    /// Returns the deadline on the clock of the process that received this value at `now`.
    pub fn deadline(self, now: MonotonicTime) -> MonotonicTime {
        now + Duration::from_millis(self.0)
    }

    /// Returns the time requested by a client, limited to `max`; `max` if the client requested none.
    pub fn requested_or_max(requested: Option<Self>, max: Self) -> Self {
        requested.map_or(max, |remaining| remaining.min(max))
    }

    /// Returns the remaining time for the next hop after reserving `margin` for returning the response.
    pub fn minus_margin(self, margin: Duration) -> Self {
        let margin = u64::try_from(margin.as_micros().div_ceil(1_000)).unwrap_or(u64::MAX);
        Self(self.0.saturating_sub(margin))
    }

    /// Returns whether no time remains.
    pub fn is_zero(self) -> bool {
        self.0 == 0
    }
}

fn whole_millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
