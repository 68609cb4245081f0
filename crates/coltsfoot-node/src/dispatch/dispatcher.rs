//! State of the dispatch duty. One thread owns it; calls run as tasks of that thread.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    sync::Arc,
    time::Duration,
};

use coltsfoot_wire::peer::{CallReply, LevelNote};
use coltsfootroute::{
    admission::{ReachedServices, RetryAfter, RootGate, ShedLevel, ShedPolicy, ShedRefusal},
    deadline::{DeadlineCheck, ServiceTimes},
    drain::{DrainState, StartAnswer},
    id::{Incarnation, NodeId},
    importance::Importance,
    name::{DomainName, RegionName, ServiceName},
    once::ClaimHolder,
    outcome::{CallOutcome, RefusalReason},
    retry::{AccountLedger, LedgerSettings, RetryPolicy, ServiceThrottle},
};
use indexmap::IndexMap;
use rand::SeedableRng;
use rand_pcg::Pcg64;
use tokio::sync::{Notify, mpsc};

use super::{
    calls_in_flight::CallsInFlight, clock_drift::DriftReport, dispatch_thread::DispatchParts,
    guard_state::GuardState, incoming_call::IncomingCall, introduction_desk::IntroductionDesk,
    member_counts::MemberCounts, once_desk::OnceDesk, peer_links::PeerLinks,
    routed_call::RoutedCall, service_pool::ServicePool, upstream_client::UpstreamClient,
};
use crate::{
    border::RepeatGuard, clock::MonotonicClock, config::ConfigCell, gossip::GossipCommand,
    journal::EventSender, metrics::NodeMetrics, settings::ControlMode,
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
    pub(super) pools: RefCell<IndexMap<ServiceName, ServicePool>>,
    /// Members of the own service and of the watched ones.
    pub(super) member_counts: RefCell<IndexMap<ServiceName, MemberCounts>>,
    /// Woken whenever the members of some service changed.
    pub(super) members_changed: Notify,
    pub(super) accounts: RefCell<AccountLedger>,
    pub(super) policy: RetryPolicy,
    /// Bounds the repeats that reach the upstream beside the node.
    pub(super) throttle: RefCell<ServiceThrottle>,
    /// Levels of the services, and what is refused by them where requests enter.
    pub(super) root: RefCell<RootGate>,
    /// Services that operations have reached, where the configuration does not declare it.
    pub(super) reached: RefCell<ReachedServices>,
    pub(super) times: RefCell<ServiceTimes>,
    pub(super) deadlines: DeadlineCheck,
    pub(super) spans: CallsInFlight,
    pub(super) links: PeerLinks,
    pub(super) guard: GuardState,
    pub(super) upstream_client: UpstreamClient,
    pub(super) drain: RefCell<DrainState>,
    /// Whether a planned stop has been asked for.
    pub(super) is_closing: Cell<bool>,
    pub(super) closing_time: Duration,
    /// Time between two reports of a planned stop that does not end.
    pub(super) drain_period: Duration,
    /// Most calls waiting in front of the upstream.
    pub(super) queue: u32,
    pub(super) shed_policy: ShedPolicy,
    /// What keeps non-repeatable work from running twice.
    pub(super) repeat_guard: RepeatGuard,
    pub(super) once: OnceDesk,
    pub(super) introduction: IntroductionDesk,
    /// Whether the settings name peers.
    pub(super) has_peers: bool,
    pub(super) gossip: mpsc::Sender<GossipCommand>,
    pub(super) metrics: Arc<NodeMetrics>,
    pub(super) events: EventSender,
    pub(super) drift: DriftReport,
    pub(super) rng: RefCell<Pcg64>,
    next_call: Cell<u64>,
}

/// What a leaving node distinguishes when it takes calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallKind {
    /// A client's request, to be routed from here.
    Client,
    /// A call for the upstream beside the node.
    Guarded,
    /// A call nested below work under way beside the node.
    Nested,
}

/// A call that counts as in flight until it is dropped.
pub struct StartedCall {
    dispatcher: Rc<Dispatcher>,
}

impl Drop for StartedCall {
    fn drop(&mut self) {
        self.dispatcher.drain.borrow_mut().finished();
    }
}

impl Dispatcher {
    /// The state of a node that has just started.
    pub fn new(parts: DispatchParts) -> Self {
        let holder =
            ClaimHolder { node: parts.identity.node, incarnation: parts.identity.incarnation };
        Self {
            clock: parts.clock,
            identity: parts.identity,
            control: parts.control,
            config: parts.config,
            pools: RefCell::default(),
            member_counts: RefCell::default(),
            members_changed: Notify::new(),
            accounts: RefCell::new(AccountLedger::new(LedgerSettings::default())),
            policy: RetryPolicy::default(),
            throttle: RefCell::new(ServiceThrottle::new(parts.clock.now(), parts.throttle)),
            root: RefCell::new(RootGate::new()),
            reached: RefCell::default(),
            times: RefCell::new(ServiceTimes::default()),
            deadlines: DeadlineCheck::new(Duration::ZERO),
            spans: CallsInFlight::default(),
            links: PeerLinks::new(parts.clock),
            guard: GuardState::default(),
            upstream_client: UpstreamClient::new(parts.body_limit, parts.dialect),
            repeat_guard: parts.repeat_guard,
            drain_period: parts.drain.report_after,
            is_closing: Cell::new(false),
            closing_time: parts.closing_time,
            drain: RefCell::new(DrainState::new(parts.drain)),
            queue: parts.queue,
            shed_policy: parts.shed_policy,
            once: OnceDesk::new(holder, parts.store, parts.nodes),
            introduction: IntroductionDesk::default(),
            has_peers: parts.has_peers,
            gossip: parts.gossip,
            metrics: parts.metrics,
            events: parts.events,
            drift: DriftReport::default(),
            rng: RefCell::new(Pcg64::seed_from_u64(parts.seed)),
            next_call: Cell::new(0),
        }
    }

    /// Identity for the next call at the gate, unique in this life of the node.
    pub(super) fn next_id(&self) -> u64 {
        let id = self.next_call.get();
        self.next_call.set(id + 1);
        id
    }

    /// Revision in force, 0 before the first.
    pub(super) fn revision(&self) -> u64 {
        self.config.load().map_or(0, |config| config.revision())
    }

    /// Counts a call as in flight; `None` if a leaving node no longer takes its kind.
    pub(super) fn start_call(self: &Rc<Self>, kind: CallKind) -> Option<StartedCall> {
        let mut drain = self.drain.borrow_mut();
        let answer = match kind {
            CallKind::Client => drain.client_started(self.clock.now()),
            CallKind::Guarded => drain.started(),
            CallKind::Nested => drain.nested_started(),
        };
        (answer == StartAnswer::Started).then(|| StartedCall { dispatcher: self.clone() })
    }

    /// A refusal of a call that ran nowhere, counted.
    pub(super) fn refuse(&self, importance: Importance, reason: RefusalReason) -> CallReply {
        self.metrics.requests.refused(reason, importance);
        self.refusal(reason, CallOutcome::NotRun)
    }

    /// A refusal with a jittered time to come back.
    pub(super) fn refusal(&self, reason: RefusalReason, outcome: CallOutcome) -> CallReply {
        let mut rng = self.rng.borrow_mut();
        let level = self.guard.level(self.clock.now());
        let after = RetryAfter::draw(Importance::Normal, level, 1.0, &mut *rng);
        CallReply::refusal(reason, outcome, after.0)
    }

    /// Takes in the levels that came with a reply.
    pub(super) fn learn_levels(&self, notes: &[LevelNote]) {
        let now = self.clock.now();
        let mut root = self.root.borrow_mut();
        let levels = root.levels_mut();
        for note in notes {
            levels.observe(now, &note.service, note.guard, note.level);
        }
    }

    /// Takes in which services an answer to `call` came from, all those below included.
    pub(super) fn learn_reached(&self, call: &RoutedCall, notes: &[LevelNote]) {
        // In the product's own interface the schema declares the calls.
        if call.head.is_some() && !notes.is_empty() {
            let services = notes.iter().map(|note| &note.service);
            let now = self.clock.now();
            self.reached.borrow_mut().observe(now, &call.service, &call.operation, services);
        }
    }

    /// Whether `service` sheds work of this importance, wholly or in part.
    pub(super) fn is_shed(&self, service: &ServiceName, importance: Importance) -> bool {
        let level: ShedLevel = self.root.borrow().levels().level(self.clock.now(), service);
        level.admitted_fraction(importance) < 1.0
    }

    /// Refuses work here that would be refused deeper down.
    pub(super) fn shed_at_root(
        &self,
        call: &IncomingCall,
        importance: Importance,
    ) -> Option<ShedRefusal> {
        // A call of a service without upstreams is told so where it is routed, at no cost.
        if !self.control.is_on() || self.has_gone(&call.service) {
            return None;
        }
        let config = self.config.load()?;
        let learnt = self.reached.borrow().of(&call.service, &call.operation);
        let services = learnt.unwrap_or_else(|| config.reachable(&call.service, &call.operation));
        let now = self.clock.now();
        let mut rng = self.rng.borrow_mut();
        let result = self.root.borrow_mut().admit(now, &services, importance, &mut *rng);
        result.err()
    }
}
