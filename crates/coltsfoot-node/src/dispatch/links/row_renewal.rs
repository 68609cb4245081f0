//! What a node does about its rows when the store comes back from an older copy.

use std::{rc::Rc, time::Duration};

use coltsfootroute::event::EventKind;
use rand::RngExt;
use tokio::time::{sleep, timeout};

use crate::{dispatch::context::NodeContext, store::StoreReturn};

use super::{
    IntroductionService, UpstreamRow, introduction_service::MAX_SETTLE_WAIT, own_rows::OwnRows,
};

/// Nodes per second that turn to the store, to read or to write rows again, after the store has come back from an older copy: half of the writes
/// that they may make.
const RETURN_WRITES_PER_S: f64 = 100.0;

/// Draws the pause after which a node turns to the store once that has come back from an older copy.
pub(super) fn return_pause(context: &NodeContext) -> Duration {
    let nodes = context.freshness.node_count().max(1);
    let spread = Duration::from_secs_f64(nodes as f64 / RETURN_WRITES_PER_S);
    spread.mul_f64(context.rng.borrow_mut().random())
}

impl IntroductionService {
    /// Returns whether the store may have lost what the node's previous incarnation wrote after `row`; then an event says so.
    pub fn check_outdated(&self, row: &UpstreamRow) -> bool {
        let latest = self.eras.latest();
        let is_outdated = row.is_outdated(latest);
        if let (true, Some(row_era), Some(latest)) = (is_outdated, row.era, latest) {
            self.context
                .events
                .emit(EventKind::UpstreamRowOutdated { row_era: row_era.0, era: latest.0 });
        }
        is_outdated
    }

    /// Writes the rows again whenever the store comes back from an older copy; never returns.
    pub async fn watch_eras(self: Rc<Self>) {
        let mut watch = self.eras.watch();
        // The cell lives as long as this service, which holds it.
        while let Some(StoreReturn { previous, latest }) = watch.next_return().await {
            self.context
                .events
                .emit(EventKind::StoreReturned { previous_era: previous.0, era: latest.0 });
            self.write_again().await;
        }
    }

    /// Has the rows written again: a leave at once, since an upstream relies on it, all else spread over the nodes.
    async fn write_again(&self) {
        if !matches!(&*self.wanted.borrow(), OwnRows::Departed(_)) {
            // A leave in the meantime is written by itself, and may have been acknowledged.
            sleep(return_pause(&self.context)).await;
        }
        self.forget_written();
    }

    fn forget_written(&self) {
        self.row.forget_version();
        self.written.take();
        self.wanted_changed.notify_one();
    }

    /// Makes sure that the row still records a leave that was acknowledged, before the node ends: the store may have come
    /// back from an older copy without this node having heard of it.
    pub async fn confirm_leave(&self) {
        let is_departed = matches!(&*self.wanted.borrow(), OwnRows::Departed(_));
        if !is_departed || !self.is_settled() {
            return;
        }
        let era = self.eras.latest();
        // A timeout means that the store is down or slow; the next incarnation then finds the row outdated.
        let _ = timeout(MAX_SETTLE_WAIT, self.row.read()).await;
        if self.eras.latest() != era {
            self.forget_written();
        }
    }
}
