//! Latest era that the store has stated.

use std::sync::Arc;

use coltsfootroute::table::StoreEra;
use tokio::sync::watch;

use super::EraWatch;
use crate::journal::LOG_TARGET;

/// Latest era that the store has stated in an answer, shared by all duties that talk to the store. It never falls.
#[derive(Clone, Debug)]
pub struct EraCell {
    latest: Arc<watch::Sender<Option<StoreEra>>>,
}

impl EraCell {
    /// Creates a cell for a store that has stated no era yet.
    pub fn new() -> Self {
        Self { latest: Arc::new(watch::Sender::new(None)) }
    }

    /// Records the era of an answer. An earlier one than the latest is of a late answer, and changes nothing.
    pub fn record(&self, era: StoreEra) {
        self.latest.send_if_modified(|latest| {
            let is_later = *latest < Some(era);
            if is_later {
                *latest = Some(era);
            }
            is_later
        });
    }

    /// Returns the latest era; `None` if the store has stated none.
    pub fn latest(&self) -> Option<StoreEra> {
        *self.latest.borrow()
    }

    /// Returns a receiver that sees each later era.
    pub fn subscribe(&self) -> watch::Receiver<Option<StoreEra>> {
        self.latest.subscribe()
    }

    /// Returns a watch for the next return of the store.
    pub fn watch(&self) -> EraWatch {
        EraWatch::new(self.subscribe())
    }

    /// Reads an era as the store states it; anything but a number changes nothing.
    pub fn record_text(&self, text: &str) {
        match text.trim().parse() {
            Ok(era) => self.record(StoreEra(era)),
            Err(_) => {
                log::debug!(target: LOG_TARGET, "level=debug event=store-era-unreadable value={text:?}");
            }
        }
    }
}

impl Default for EraCell {
    fn default() -> Self {
        Self::new()
    }
}
