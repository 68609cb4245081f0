//! What the dispatch duty is made of.

use std::{sync::Arc, time::Duration};

use coltsfootroute::{admission::ShedPolicy, drain::DrainSettings, retry::ThrottleSettings};
use tokio::sync::mpsc;

use super::context::NodeIdentity;
use crate::{
    border::{RepeatGuard, UpstreamDialect},
    clock::MonotonicClock,
    config::{ConfigCell, FreshnessCell},
    gossip::GossipCommand,
    journal::EventSender,
    metrics::NodeMetrics,
    settings::ControlMode,
    store::StoreHandle,
};

/// What the dispatch duty is made of.
pub struct DispatchParts {
    /// Clock of the process.
    pub clock: MonotonicClock,
    /// The node.
    pub identity: NodeIdentity,
    /// Whether load is controlled.
    pub control: ControlMode,
    /// Headers between node and upstream.
    pub dialect: UpstreamDialect,
    /// What keeps non-repeatable work from running twice.
    pub repeat_guard: RepeatGuard,
    /// What the guard's shed level follows.
    pub shed_policy: ShedPolicy,
    /// Bound on the retries into one service.
    pub throttle: ThrottleSettings,
    /// Configuration in force, written by the configuration duty.
    pub config: ConfigCell,
    /// The newest proof that the configuration in force is the newest.
    pub freshness: FreshnessCell,
    /// Time after which a key that was taken away runs nothing; `None`: no proof is needed.
    pub revoke_within: Option<Duration>,
    /// Most bytes of a body.
    pub body_limit: usize,
    /// Most calls waiting in front of the upstream.
    pub queue: u32,
    /// How a planned stop goes.
    pub drain: DrainSettings,
    /// How long a node that is to stop serves on as before, while clients hear that they should not come.
    pub closing_time: Duration,
    /// The platform's services.
    pub store: StoreHandle,
    /// Whether the settings name peers.
    pub has_peers: bool,
    /// Whether the whole deployment starts with this node.
    pub first_start: bool,
    /// Nodes that share the platform's rates.
    pub nodes: u32,
    /// Commands to the gossip duty.
    pub gossip: mpsc::Sender<GossipCommand>,
    /// Metrics of the node.
    pub metrics: Arc<NodeMetrics>,
    /// Events of the node.
    pub events: EventSender,
    /// Seed of the random generator.
    pub seed: u64,
}
