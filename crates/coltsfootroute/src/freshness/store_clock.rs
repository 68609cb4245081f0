//! Conversion of the store's times to the node's own clock.

use std::time::Duration;

use super::StoreTime;
use crate::time::MonotonicTime;

/// Divisor that bounds clock drift: two working clocks drift apart by less than 1/1000 of the elapsed time.
const MAX_DRIFT_DIVISOR: u32 = 1_000;

/// Converts times of the store's clock to the earliest possible times of the node's own clock.
///
/// The store reads its clock for an answer after the node has sent the request. So the time of the request, however
/// long request and answer were delayed, is a lower bound for the time in the answer, and thereby for all other times.
#[derive(Clone, Copy, Debug, Default)]
pub struct StoreClock {
    /// Time at which a request was sent, and the time of the store's clock in its answer.
    reading: Option<(MonotonicTime, StoreTime)>,
}

impl StoreClock {
    /// Records the time `shown` in the store's answer to a request sent at `asked`.
    pub fn record(&mut self, asked: MonotonicTime, shown: StoreTime) {
        if self.earliest(shown).is_none_or(|earliest| earliest <= asked) {
            self.reading = Some((asked, shown));
        }
    }

    /// Returns the earliest time at which the store's clock may have shown `shown`; `None` before the first answer.
    pub fn earliest(&self, shown: StoreTime) -> Option<MonotonicTime> {
        let (asked, read) = self.reading?;
        let later = Duration::from_millis(shown.0.saturating_sub(read.0));
        let sooner = Duration::from_millis(read.0.saturating_sub(shown.0));
        Some(asked + later - sooner - (later + sooner) / MAX_DRIFT_DIVISOR)
    }
}
