//! Where the times of the store's clock lie on the node's own.

use std::time::Duration;

use super::StoreTime;
use crate::time::MonotonicTime;

/// Two sound clocks drift apart by less than one part of this many.
const MAX_DRIFT_DIVISOR: u32 = 1_000;

/// Where the times of the store's clock lie on the node's own, at the earliest.
///
/// What the store's clock shows in an answer it showed after the question was asked. So the time of the question, however
/// long question and answer were held up, is a lower bound for the time shown, and with it for all others.
#[derive(Clone, Copy, Debug, Default)]
pub struct StoreClock {
    /// The time of a question, and what the store's clock showed in the answer.
    reading: Option<(MonotonicTime, StoreTime)>,
}

impl StoreClock {
    /// Takes in what the store's clock showed in the answer to a question asked at `asked`.
    pub fn record(&mut self, asked: MonotonicTime, shown: StoreTime) {
        if self.earliest(shown).is_none_or(|earliest| earliest <= asked) {
            self.reading = Some((asked, shown));
        }
    }

    /// The earliest time at which the store's clock may have shown `shown`; `None` before the first answer.
    pub fn earliest(&self, shown: StoreTime) -> Option<MonotonicTime> {
        let (asked, read) = self.reading?;
        let later = Duration::from_millis(shown.0.saturating_sub(read.0));
        let sooner = Duration::from_millis(read.0.saturating_sub(shown.0));
        Some(asked + later - sooner - (later + sooner) / MAX_DRIFT_DIVISOR)
    }
}
