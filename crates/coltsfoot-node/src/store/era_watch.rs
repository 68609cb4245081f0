//! Waits for the store to come back from an older copy.

use coltsfootroute::table::StoreEra;
use tokio::sync::watch;

/// Waits for the store to come back from an older copy.
pub struct EraWatch {
    eras: watch::Receiver<Option<StoreEra>>,
    known: Option<StoreEra>,
}

/// A return of the store from an older copy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StoreReturn {
    /// Era before the return.
    pub previous: StoreEra,
    /// Era since.
    pub latest: StoreEra,
}

impl EraWatch {
    pub(super) fn new(mut eras: watch::Receiver<Option<StoreEra>>) -> Self {
        let known = *eras.borrow_and_update();
        Self { eras, known }
    }

    /// Waits for the next return; returns `None` once nobody records eras any more. The first era that the store states is
    /// no return.
    pub async fn next_return(&mut self) -> Option<StoreReturn> {
        loop {
            self.eras.changed().await.ok()?;
            let latest = *self.eras.borrow_and_update();
            let previous = std::mem::replace(&mut self.known, latest);
            if let (Some(previous), Some(latest)) = (previous, latest) {
                return Some(StoreReturn { previous, latest });
            }
        }
    }
}
