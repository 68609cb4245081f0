//! State of the guard of the upstream beside the node.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::Duration,
};

use coltsfoot_wire::peer::CallReply;
use coltsfootroute::{
    admission::{AdmissionGate, RetryAfter, ShedPolicy},
    drain::{DrainSettings, DrainState},
    importance::Importance,
    once::ClaimHolder,
    outcome::{CallOutcome, RefusalReason},
    quarantine::AnsweredRequests,
    retry::{ArrivalCounter, GuardTracker, ServiceThrottle, ThrottleSettings},
};
use rand::RngExt;
use tokio::sync::Notify;

use super::{
    calls_in_flight::CallsInFlight, guard_state::GuardState, interrupted_calls::InterruptedCalls,
    once_service::OnceService, upstream_client::UpstreamClient,
};
use crate::{
    answers::AnswerTracker,
    border::UpstreamDialect,
    dispatch::{
        context::NodeContext,
        links::{IntroductionService, PeerLinks, QuarantineService},
    },
    store::StoreHandle,
};

/// Settings of the guard.
pub struct GuardSettings {
    /// Headers used between node and upstream.
    pub dialect: UpstreamDialect,
    /// Policy that sets the guard's shed level.
    pub shed_policy: ShedPolicy,
    /// Bound on the retries that reach the upstream.
    pub throttle: ThrottleSettings,
    /// Maximum size of a body, in bytes.
    pub body_limit: usize,
    /// Maximum number of calls queued in front of the upstream.
    pub queue: u32,
    /// Whether all nodes of the deployment start together with this one.
    pub first_start: bool,
    /// Settings of a planned stop.
    pub drain: DrainSettings,
    /// Time for which a node that is about to stop still serves requests, while it tells clients to close their
    /// connections.
    pub closing_time: Duration,
    /// Time after which a planned stop is ended from outside; `None` if it is not.
    pub grace_time: Option<Duration>,
    /// Answers that the node still has to hand over.
    pub answers: AnswerTracker,
    /// Handle to the platform's store.
    pub store: StoreHandle,
    /// Number of nodes that share the platform's rates.
    pub nodes: u32,
}

/// Guard of the upstream beside the node. It is independent of the ingress: calls reach it as requests from nodes,
/// including this one, and it returns replies.
pub struct CallGuard {
    pub(in crate::dispatch) context: Rc<NodeContext>,
    pub(in crate::dispatch) links: Rc<PeerLinks>,
    pub(in crate::dispatch) introduction: Rc<IntroductionService>,
    /// Requests that end their upstreams.
    pub(super) quarantine: Rc<QuarantineService>,
    /// The upstream, its gate, and the calls that wait at it.
    pub(in crate::dispatch) state: GuardState,
    /// Calls that the upstream is processing.
    pub(in crate::dispatch) spans: CallsInFlight,
    pub(in crate::dispatch) drain: RefCell<DrainState>,
    /// Notified when the service of the upstream beside the node may have changed.
    pub(in crate::dispatch) service_changed: Notify,
    /// The latest interrupted calls, for which it may not be known yet whether the upstream crashed.
    pub(super) interrupted_calls: RefCell<Option<InterruptedCalls>>,
    /// Requests that the upstream has answered recently.
    pub(super) answered: RefCell<AnsweredRequests>,
    /// Bound on the repeats that reach the upstream.
    pub(super) throttle: RefCell<ServiceThrottle>,
    /// Number of times that each request has been sent to the upstream.
    pub(super) arrivals: RefCell<ArrivalCounter>,
    /// Other guards of the same service.
    pub(super) guards: RefCell<GuardTracker>,
    pub(super) upstream_client: UpstreamClient,
    /// Whether a planned stop has been requested.
    pub(super) is_closing: Cell<bool>,
    pub(super) closing_time: Duration,
    pub(super) grace_time: Option<Duration>,
    /// Answers that the node still has to hand over, which a planned stop waits for.
    pub(in crate::dispatch) answers: AnswerTracker,
    /// Time between two reports of an overdue planned stop.
    pub(super) drain_period: Duration,
    /// Maximum number of calls queued in front of the upstream.
    pub(super) queue: u32,
    pub(super) shed_policy: ShedPolicy,
    /// Claims that keep non-repeatable work from running twice.
    pub(super) once: OnceService,
    next_call: Cell<u64>,
}

impl CallGuard {
    /// Creates a guard without an upstream.
    pub fn new(
        context: Rc<NodeContext>,
        links: Rc<PeerLinks>,
        introduction: Rc<IntroductionService>,
        quarantine: Rc<QuarantineService>,
        settings: GuardSettings,
    ) -> Self {
        let identity = &context.identity;
        let answered = AnsweredRequests::new(context.rng.borrow_mut().random(), context.now());
        let holder = ClaimHolder { node: identity.node, incarnation: identity.incarnation };
        Self {
            links,
            introduction,
            quarantine,
            answered: RefCell::new(answered),
            state: GuardState::default(),
            spans: CallsInFlight::default(),
            drain_period: settings.drain.report_after,
            drain: RefCell::new(DrainState::new(settings.drain)),
            service_changed: Notify::new(),
            interrupted_calls: RefCell::default(),
            throttle: RefCell::new(ServiceThrottle::new(context.now(), settings.throttle)),
            arrivals: RefCell::default(),
            guards: RefCell::new(GuardTracker::new(settings.first_start)),
            upstream_client: UpstreamClient::new(
                context.clock,
                settings.body_limit,
                context.memory.clone(),
                settings.dialect,
            ),
            is_closing: Cell::new(false),
            closing_time: settings.closing_time,
            grace_time: settings.grace_time,
            answers: settings.answers,
            queue: settings.queue,
            shed_policy: settings.shed_policy,
            once: OnceService::new(holder, settings.store, settings.nodes),
            next_call: Cell::new(0),
            context,
        }
    }

    /// Returns an identifier for the next call at the gate, unique within this incarnation of the node.
    pub(super) fn next_id(&self) -> u64 {
        let id = self.next_call.get();
        self.next_call.set(id + 1);
        id
    }

    /// Returns a refusal of a call that has not run, and counts it.
    pub fn refuse(&self, importance: Importance, reason: RefusalReason) -> CallReply {
        self.context.metrics.requests.refused(reason, importance);
        self.refusal(reason, CallOutcome::NotRun)
    }

    /// Returns a refusal with a jittered delay before the caller may retry.
    pub fn refusal(&self, reason: RefusalReason, outcome: CallOutcome) -> CallReply {
        let mut rng = self.context.rng.borrow_mut();
        let after = match reason {
            RefusalReason::Leaving | RefusalReason::NoUpstream | RefusalReason::NoConfiguration => {
                RetryAfter::draw_for_absence(&mut *rng)
            }
            RefusalReason::UpstreamLimit => {
                let gate = self.state.gate.borrow();
                let load = gate.as_ref().map_or(1.0, AdmissionGate::rate_load);
                RetryAfter::draw(Importance::Normal, self.state.rate_level(), load, &mut *rng)
            }
            _ => {
                let level = self.state.level(self.context.now());
                RetryAfter::draw(Importance::Normal, level, 1.0, &mut *rng)
            }
        };
        CallReply::refusal(reason, outcome, after.0)
    }
}
