//! Settings and shared components that the dispatch duty is built from.

use std::{sync::Arc, time::Duration};

use coltsfootroute::{admission::ShedPolicy, drain::DrainSettings, retry::ThrottleSettings};
use tokio::sync::mpsc;

use super::context::NodeIdentity;
use crate::{
    answers::AnswerTracker,
    border::{RepeatGuard, UpstreamDialect},
    clock::MonotonicClock,
    config::{ConfigCell, FreshnessCell},
    gossip::GossipCommand,
    journal::EventSender,
    memory::MemoryPool,
    metrics::NodeMetrics,
    settings::{ControlMode, SchedulingSettings},
    store::StoreHandle,
};

/// Settings and shared components that the dispatch duty is built from.
pub struct DispatchParts {
    /// Clock of the process.
    pub clock: MonotonicClock,
    /// Identity of the node.
    pub identity: NodeIdentity,
    /// Whether load is controlled.
    pub control: ControlMode,
    /// Optional parts of load control.
    pub scheduling: SchedulingSettings,
    /// Headers between node and upstream.
    pub dialect: UpstreamDialect,
    /// Mechanism that keeps non-repeatable work from running twice.
    pub repeat_guard: RepeatGuard,
    /// Policy that determines the guard's shed level.
    pub shed_policy: ShedPolicy,
    /// Limit on the retries to one service.
    pub throttle: ThrottleSettings,
    /// Configuration in force, written by the configuration duty.
    pub config: ConfigCell,
    /// Latest proof that the configuration in force is the newest.
    pub freshness: FreshnessCell,
    /// Time after which a revoked key must no longer admit any call; `None` if no proof is needed.
    pub revoke_within: Option<Duration>,
    /// Maximum size of a body in bytes.
    pub body_limit: usize,
    /// Maximum number of calls queued for the upstream.
    pub queue: u32,
    /// Settings of a planned stop.
    pub drain: DrainSettings,
    /// Time for which a stopping node continues to serve, while it tells clients not to send further requests.
    pub closing_time: Duration,
    /// Time after which a planned stop is ended from outside; `None` if it is not.
    pub grace_time: Option<Duration>,
    /// Answers that the node still has to hand over.
    pub answers: AnswerTracker,
    /// Access to the platform's services.
    pub store: StoreHandle,
    /// Whether the settings name peers.
    pub has_peers: bool,
    /// Whether this node starts as part of the first start of the whole deployment.
    pub first_start: bool,
    /// Number of nodes that share the platform's rate limits.
    pub nodes: u32,
    /// Sender of commands to the gossip duty.
    pub gossip: mpsc::Sender<GossipCommand>,
    /// Number of file descriptors that the process may have open.
    pub descriptors: usize,
    /// Memory of the process for requests and answers.
    pub memory: MemoryPool,
    /// Metrics of the node.
    pub metrics: Arc<NodeMetrics>,
    /// Sender of the node's events.
    pub events: EventSender,
    /// Seed of the random generator.
    pub seed: u64,
}
