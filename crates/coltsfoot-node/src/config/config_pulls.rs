//! Questions to peers for what changed, beside the duty's own loop.

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

/// A question to a peer that has ended.
pub(super) struct FinishedPull {
    pub(super) peer: NodeId,
    /// The revision since which the peer was asked for changes.
    pub(super) since: Revision,
    /// When the peer was asked first; asked again for all, the time stays.
    pub(super) requested_at: Instant,
    /// What it sent, encoded; `None`: it did not answer.
    pub(super) encoded: Option<Vec<u8>>,
}

type PullFuture = Pin<Box<dyn Future<Output = FinishedPull> + Send>>;

/// Questions to peers for what changed, some at once: one that does not answer holds up nobody.
pub(super) struct ConfigPulls {
    plan: PullPlan,
    in_flight: FuturesUnordered<PullFuture>,
    dispatch: DispatchHandle,
    clock: MonotonicClock,
}

impl ConfigPulls {
    /// No question is open.
    pub(super) fn new(dispatch: DispatchHandle, clock: MonotonicClock) -> Self {
        Self { plan: PullPlan::new(), in_flight: FuturesUnordered::new(), dispatch, clock }
    }

    /// `peer` has told that it has `revision` in force.
    pub(super) fn record_revision(&mut self, peer: NodeId, revision: Revision) {
        self.plan.record_revision(peer, revision);
    }

    /// Asks those who are due, where `held` is held.
    pub(super) fn pull_due_peers(&mut self, held: Revision) {
        while let Some(peer) = self.plan.next_peer(self.clock.now(), held) {
            self.start_pull(peer, held, Instant::now());
        }
    }

    /// Asks `peer` in any case for what changed after `since`, unless it is being asked.
    pub(super) fn pull_from(&mut self, peer: NodeId, since: Revision, requested_at: Instant) {
        if self.plan.record_request(self.clock.now(), peer) {
            self.start_pull(peer, since, requested_at);
        }
    }

    /// The next question that ends; `None` when another peer is due.
    pub(super) async fn next(&mut self) -> Option<FinishedPull> {
        let due = self.plan.next_hedge_at().map(|due| self.clock.instant_at(due));
        let hedge = async {
            match due {
                Some(due) => sleep_until(due.into()).await,
                None => pending().await,
            }
        };
        let ended = async {
            match self.in_flight.next().await {
                Some(pull) => pull,
                None => pending().await,
            }
        };
        let pull = tokio::select! {
            pull = ended => pull,
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
