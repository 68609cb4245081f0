//! Context of the dispatch duty: clock, configuration, metrics and events of the node.

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
    memory::MemoryPool,
    metrics::NodeMetrics,
    settings::{ControlMode, SchedulingSettings},
};

/// State shared by all parts of the dispatch duty, independent of single requests.
pub struct NodeContext {
    /// Clock of the process.
    pub clock: MonotonicClock,
    /// Identity of the node.
    pub identity: NodeIdentity,
    /// Whether load control is on.
    pub control: ControlMode,
    /// Optional parts of load control.
    pub scheduling: SchedulingSettings,
    /// Mechanism that keeps non-repeatable work from running twice.
    pub repeat_guard: RepeatGuard,
    /// Configuration in force, written by the configuration duty.
    pub config: ConfigCell,
    /// Latest proof that the configuration in force is up to date.
    pub freshness: FreshnessCell,
    /// Maximum age of that proof for work that requires a key; `None` if no proof is required.
    pub proof_time: Option<Duration>,
    /// Commands to the gossip duty.
    pub gossip: mpsc::Sender<GossipCommand>,
    /// Number of file descriptors that the process may have open.
    pub descriptors: usize,
    /// Memory of the process for requests and answers.
    pub memory: MemoryPool,
    /// Metrics of the node.
    pub metrics: Arc<NodeMetrics>,
    /// Events of the node.
    pub events: EventSender,
    /// Random number generator of the duty, seeded once. Must not be borrowed across an await point.
    pub rng: RefCell<Pcg64>,
    /// Rate limit for reports of clock drift.
    pub(in crate::dispatch) drift: DriftReportLimiter,
}

impl NodeContext {
    /// Returns the revision in force; 0 before the first.
    pub fn revision(&self) -> u64 {
        self.config.load().map_or(0, |config| config.revision())
    }

    /// Returns the encoded changes since revision `since`; empty if there are none.
    ///
    /// # Errors
    ///
    /// Returns an error if the changes cannot be encoded.
    pub fn config_since(&self, since: u64) -> Result<Vec<u8>, capnp::Error> {
        let Some(config) = self.config.load() else { return Ok(Vec::new()) };
        config.encode_since(since).map_err(|err| capnp::Error::failed(err.to_string()))
    }

    /// Queries the gossip duty for the membership status; `None` if the duty has stopped.
    pub async fn membership_status(&self) -> Option<MembershipStatus> {
        let (reply, status) = oneshot::channel();
        self.gossip.send(GossipCommand::Status(reply)).await.ok()?;
        status.await.ok()
    }

    /// Sends a command to the gossip duty. A closed channel means that the process is stopping, so the command is
    /// dropped.
    pub async fn send_gossip_command(&self, command: GossipCommand) {
        let _ = self.gossip.send(command).await;
    }

    /// Returns `pause` shortened or extended by up to half at random, so that nodes that start together do not send
    /// their requests together.
    pub fn jittered(&self, pause: Duration) -> Duration {
        pause.mul_f64(self.rng.borrow_mut().random_range(0.5..1.5))
    }

    /// Returns the current time.
    pub fn now(&self) -> MonotonicTime {
        self.clock.now()
    }

    /// Merges the stamp of a received message into the clock of events, so that events caused by the message are
    /// ordered after it.
    pub fn observe(&self, stamp: HybridStamp) {
        let Err(drift) = self.events.observe(stamp) else { return };
        if self.drift.is_due(self.clock.now()) {
            let (stamp, ahead_ms) = (drift.stamp, drift.ahead_ms);
            log::warn!(target: LOG_TARGET, "event=clock-drift stamp={stamp} ahead_ms={ahead_ms}");
        }
    }
}
