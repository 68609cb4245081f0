//! Clock, configuration, metrics and events of the node.

use std::{cell::RefCell, sync::Arc, time::Duration};

use coltsfootroute::{event::HybridStamp, membership::MembershipStatus, time::MonotonicTime};
use rand::RngExt;
use rand_pcg::Pcg64;
use tokio::sync::{mpsc, oneshot};

use super::{NodeIdentity, clock_drift::DriftReportLimiter};
use crate::{
    border::RepeatGuard,
    clock::MonotonicClock,
    config::{ConfigCell, FreshnessCell},
    gossip::GossipCommand,
    journal::{EventSender, LOG_TARGET},
    metrics::NodeMetrics,
    settings::ControlMode,
};

/// What every part of the dispatch duty may use. Holds no request.
pub struct NodeContext {
    /// Clock of the process.
    pub clock: MonotonicClock,
    /// The node.
    pub identity: NodeIdentity,
    /// Whether load is controlled.
    pub control: ControlMode,
    /// What keeps non-repeatable work from running twice.
    pub repeat_guard: RepeatGuard,
    /// Configuration in force, written by the configuration duty.
    pub config: ConfigCell,
    /// The newest proof that the configuration in force is the newest.
    pub freshness: FreshnessCell,
    /// Age beyond which such a proof is too old for work that needs a key; `None`: none is needed.
    pub proof_time: Option<Duration>,
    /// Commands to the gossip duty.
    pub gossip: mpsc::Sender<GossipCommand>,
    /// Metrics of the node.
    pub metrics: Arc<NodeMetrics>,
    /// Events of the node.
    pub events: EventSender,
    /// Random generator of the duty, seeded once. Never borrowed across an await.
    pub rng: RefCell<Pcg64>,
    /// When clocks that disagree were last reported.
    pub(in crate::dispatch) drift: DriftReportLimiter,
}

impl NodeContext {
    /// Revision in force, 0 before the first.
    pub fn revision(&self) -> u64 {
        self.config.load().map_or(0, |config| config.revision())
    }

    /// What changed since revision `since`, encoded; empty if nothing did.
    ///
    /// # Errors
    ///
    /// If the changes cannot be encoded.
    pub fn config_since(&self, since: u64) -> Result<Vec<u8>, capnp::Error> {
        let Some(config) = self.config.load() else { return Ok(Vec::new()) };
        config.encode_since(since).map_err(|err| capnp::Error::failed(err.to_string()))
    }

    /// What the gossip duty knows; `None` if it is gone.
    pub async fn membership_status(&self) -> Option<MembershipStatus> {
        let (reply, status) = oneshot::channel();
        self.gossip.send(GossipCommand::Status(reply)).await.ok()?;
        status.await.ok()
    }

    /// Sends a command to the gossip duty. A closed ring means that the process stops: nobody is left to tell.
    pub async fn send_gossip_command(&self, command: GossipCommand) {
        let _ = self.gossip.send(command).await;
    }

    /// `pause`, up to half of it shorter or longer: nodes that start together must not ask together.
    pub fn jittered(&self, pause: Duration) -> Duration {
        pause.mul_f64(self.rng.borrow_mut().random_range(0.5..1.5))
    }

    /// The time now.
    pub fn now(&self) -> MonotonicTime {
        self.clock.now()
    }

    /// Takes over the stamp of a message, so that what it causes here is ordered after it.
    pub fn observe(&self, stamp: HybridStamp) {
        let Err(drift) = self.events.observe(stamp) else { return };
        if self.drift.is_due(self.clock.now()) {
            let (stamp, ahead_ms) = (drift.stamp, drift.ahead_ms);
            log::warn!(target: LOG_TARGET, "event=clock-drift stamp={stamp} ahead_ms={ahead_ms}");
        }
    }
}
