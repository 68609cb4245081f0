//! Requests to peers for configuration changes, run concurrently with the duty's own loop.

use std::{future::pending, pin::Pin};

use coltsfootroute::{
    id::NodeId,
    revision::{PullPlan, Revision},
};
use futures_util::{StreamExt, stream::FuturesUnordered};
use tokio::{
    sync::oneshot,
    time::{Instant, sleep_until},
};

use crate::{
    clock::MonotonicClock,
    dispatch::{DispatchCommand, DispatchHandle},
};

/// A finished request to a peer for configuration changes.
pub(super) struct FinishedPull {
    pub(super) peer: NodeId,
    /// Revision since which changes were requested.
    pub(super) since: Revision,
    /// Time of the first request to the peer; a repeated request for the whole configuration keeps it.
    pub(super) requested_at: Instant,
    /// Encoded reply; `None` if the peer did not answer.
    pub(super) encoded: Option<Vec<u8>>,
}

type PullFuture = Pin<Box<dyn Future<Output = FinishedPull> + Send>>;

/// Concurrent requests to peers for configuration changes; a peer that does not answer does not delay the others.
pub(super) struct ConfigPulls {
    plan: PullPlan,
    in_flight: FuturesUnordered<PullFuture>,
    dispatch: DispatchHandle,
    clock: MonotonicClock,
}

impl ConfigPulls {
    /// Creates a set of pulls with no request in flight.
    pub(super) fn new(dispatch: DispatchHandle, clock: MonotonicClock) -> Self {
        Self { plan: PullPlan::new(), in_flight: FuturesUnordered::new(), dispatch, clock }
    }

    /// Records that `peer` has `revision` in force.
    pub(super) fn record_revision(&mut self, peer: NodeId, revision: Revision) {
        self.plan.record_revision(peer, revision);
    }

    /// Requests the changes since `held`, the revision held here, from each peer that is due.
    pub(super) fn pull_due_peers(&mut self, held: Revision) {
        while let Some(peer) = self.plan.next_peer(self.clock.now(), held) {
            self.start_pull(peer, held, Instant::now());
        }
    }

    /// Requests the changes since `since` from `peer`, even if it is not due, unless a request to it is in flight.
    pub(super) fn pull_from(&mut self, peer: NodeId, since: Revision, requested_at: Instant) {
        if self.plan.record_request(self.clock.now(), peer) {
            self.start_pull(peer, since, requested_at);
        }
    }

    /// Waits for the next request to finish; returns `None` when another peer is due first.
    pub(super) async fn next(&mut self) -> Option<FinishedPull> {
        let due = self.plan.next_hedge_at().map(|due| self.clock.instant_at(due));
        let hedge = async {
            match due {
                Some(due) => sleep_until(due.into()).await,
                None => pending().await,
            }
        };
        let finished = async {
            match self.in_flight.next().await {
                Some(pull) => pull,
                None => pending().await,
            }
        };
        let pull = tokio::select! {
            pull = finished => pull,
            () = hedge => return None,
        };
        self.plan.record_completion(pull.peer);
        Some(pull)
    }

    fn start_pull(&mut self, peer: NodeId, since: Revision, requested_at: Instant) {
        let dispatch = self.dispatch.clone();
        self.in_flight.push(Box::pin(async move {
            let (reply, receiver) = oneshot::channel();
            dispatch.tell(DispatchCommand::PullConfig { peer, since: since.0, reply }).await;
            FinishedPull { peer, since, requested_at, encoded: receiver.await.ok().flatten() }
        }));
    }
}
