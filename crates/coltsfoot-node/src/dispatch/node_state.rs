//! Configuration changes, gauges and the end of a planned stop, as the dispatch duty sees them.

use std::{sync::Arc, time::Duration};

use coltsfootroute::{drain::DrainPhase, event::EventKind, id::NodeId, name::ServiceName};
use tokio::time::timeout;

use super::{control_traffic::SINCE_BYTES, dispatcher::Dispatcher};
use crate::{config::ConfigInForce, metrics::ControlKind};

/// Longest wait for a peer's configuration. The configuration duty waits meanwhile; a peer that has gone
/// without a word must not hold it up, and others have the same.
const PULL_TIMEOUT: Duration = Duration::from_secs(1);

/// Schemas of at most so many services are watched whole, so that no client's first call waits.
const EAGER_SERVICES: usize = 32;

impl Dispatcher {
    /// A configuration is in force from now on.
    pub(super) async fn configure(&self, config: &Arc<ConfigInForce>) {
        self.metrics.control.set_revision(config.revision());
        for service in self.pinned_services() {
            self.watch(&service).await;
        }
    }

    /// Services watched whether they are called or not: all of a small schema, else what the upstream
    /// beside the node calls.
    pub(super) fn pinned_services(&self) -> Vec<ServiceName> {
        let Some(config) = self.config.load() else { return Vec::new() };
        if config.service_count() <= EAGER_SERVICES {
            return config.services();
        }
        let upstream = self.guard.upstream.borrow();
        let own = upstream.as_ref().map(|upstream| &upstream.announcement.service);
        own.map(|service| config.callees(service)).unwrap_or_default()
    }

    /// Asks a peer for what changed since revision `since`; `None` if it does not answer in time.
    pub(super) async fn pull_config(&self, peer: NodeId, since: u64) -> Option<Vec<u8>> {
        timeout(PULL_TIMEOUT, self.pull_delta(peer, since)).await.ok()?
    }

    async fn pull_delta(&self, peer: NodeId, since: u64) -> Option<Vec<u8>> {
        let link = self.links.get(peer).await.ok()?;
        let mut request = link.client().config_since_request();
        request.get().set_revision(since);
        match request.send().promise.await {
            Ok(response) => {
                let delta = response.get().ok()?.get_delta().ok()?.to_vec();
                self.count_asked(ControlKind::Configuration, SINCE_BYTES, delta.len());
                Some(delta)
            }
            Err(_) => {
                self.links.failed(peer, &link);
                None
            }
        }
    }

    /// What changed since revision `since`, encoded; empty if nothing did.
    pub(super) fn config_since(&self, since: u64) -> Result<Vec<u8>, capnp::Error> {
        let Some(config) = self.config.load() else { return Ok(Vec::new()) };
        config.encode_since(since).map_err(|err| capnp::Error::failed(err.to_string()))
    }

    /// Whether a leaving node may stop.
    pub(super) fn is_drained(&self) -> bool {
        self.drain.borrow().phase(self.clock.now()) == DrainPhase::Drained
    }

    /// Copies the gate's numbers into the metrics.
    pub(super) fn report_gauges(&self) {
        let gate = self.guard.gate.borrow();
        let Some(gate) = gate.as_ref() else { return };
        self.metrics.requests.set_load(gate.in_flight() as usize, gate.queued() as usize);
        self.metrics.requests.set_limit(gate.limit() as usize);
        self.report_limit(gate.limit());
    }

    /// Reports a changed limit. Looked at with the gauges: the limit may move with each call.
    fn report_limit(&self, limit: u32) {
        let previous = self.guard.reported_limit.replace(limit);
        if previous == limit || previous == 0 {
            return;
        }
        let upstream = self.guard.upstream.borrow();
        let Some(upstream) = upstream.as_ref() else { return };
        let service = upstream.announcement.service.clone();
        self.events.emit(EventKind::LimitChanged { service, previous, limit });
    }
}
