//! State of the dispatch duty. One thread owns it; calls run as tasks of that thread.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    sync::Arc,
    time::Duration,
};

use coltsfoot_wire::peer::{CallReply, ClaimState, LevelNote, TakeAnswer};
use coltsfootroute::{
    admission::{RetryAfter, ServiceLevels},
    deadline::{DeadlineCheck, ServiceTimes},
    drain::{DrainPhase, DrainState},
    id::{Incarnation, NodeId, RequestId},
    membership::{MemberRecord, MemberState},
    name::{DomainName, RegionName, ServiceName},
    outcome::{CallOutcome, RefusalReason},
    retry::{self, AccountLedger, RetryPolicy, ServiceThrottle},
    routing::{RoutingSettings, UpstreamInfo, UpstreamPool},
    time::MonotonicTime,
};
use indexmap::IndexMap;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use tokio::sync::{Notify, mpsc};

use super::{
    calls_in_flight::CallsInFlight,
    guard::GuardState,
    peer_links::PeerLinks,
    upstream_client::UpstreamClient,
};
use crate::{
    clock::MonotonicClock,
    config::{ConfigCell, ConfigInForce},
    gossip::GossipCommand,
    journal::EventSender,
    metrics::NodeMetrics,
    once::OnceDesk,
    settings::ControlMode,
};

/// What the dispatch duty knows of its own node; immutable.
#[derive(Clone, Debug)]
pub struct NodeIdentity {
    /// Peer address of the node.
    pub node: NodeId,
    /// This life of the node.
    pub incarnation: Incarnation,
    /// Failure domain of the host.
    pub domain: DomainName,
    /// Region of the host.
    pub region: RegionName,
}

/// State of the dispatch duty.
pub struct Dispatcher {
    pub(super) clock: MonotonicClock,
    pub(super) identity: NodeIdentity,
    pub(super) control: ControlMode,
    pub(super) config: ConfigCell,
    pub(super) pools: RefCell<IndexMap<ServiceName, UpstreamPool>>,
    /// Woken whenever the members of some service changed.
    pub(super) members_changed: Notify,
    pub(super) accounts: RefCell<AccountLedger>,
    pub(super) policy: RetryPolicy,
    pub(super) throttles: RefCell<IndexMap<ServiceName, ServiceThrottle>>,
    pub(super) levels: RefCell<ServiceLevels>,
    pub(super) times: RefCell<ServiceTimes>,
    pub(super) deadlines: DeadlineCheck,
    pub(super) spans: CallsInFlight,
    pub(super) links: PeerLinks,
    pub(super) guard: GuardState,
    pub(super) upstream_client: UpstreamClient,
    pub(super) drain: RefCell<DrainState>,
    pub(super) once: OnceDesk,
    pub(super) gossip: mpsc::Sender<GossipCommand>,
    pub(super) metrics: NodeMetrics,
    pub(super) events: EventSender,
    pub(super) rng: RefCell<Pcg64>,
    pub(super) next_call: Cell<u64>,
}
