//! State of the guard of the upstream beside the node.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::Duration,
};

use coltsfoot_wire::peer::CallReply;
use coltsfootroute::{
    admission::{RetryAfter, ShedPolicy},
    drain::{DrainSettings, DrainState},
    importance::Importance,
    once::ClaimHolder,
    outcome::{CallOutcome, RefusalReason},
    quarantine::AnsweredRequests,
    retry::{GuardTracker, ServiceThrottle, ThrottleSettings},
};
use rand::RngExt;
use tokio::sync::Notify;

use super::{
    calls_in_flight::CallsInFlight, cut_calls::CutCalls, guard_state::GuardState,
    once_desk::OnceDesk, upstream_client::UpstreamClient,
};
use crate::{
    border::UpstreamDialect,
    dispatch::{
        context::NodeContext,
        links::{IntroductionService, PeerLinks, QuarantineService},
    },
    store::StoreHandle,
};

/// Settings of the guard.
pub struct GuardParts {
    /// Headers between node and upstream.
    pub dialect: UpstreamDialect,
    /// What the guard's shed level follows.
    pub shed_policy: ShedPolicy,
    /// Bound on the retries into the upstream.
    pub throttle: ThrottleSettings,
    /// Most bytes of a body.
    pub body_limit: usize,
    /// Most calls waiting in front of the upstream.
    pub queue: u32,
    /// Whether all nodes of the deployment start with this one.
    pub first_start: bool,
    /// How a planned stop goes.
    pub drain: DrainSettings,
    /// How long a node that is to stop serves on as before, while clients hear that they should not come.
    pub closing_time: Duration,
    /// The platform's services.
    pub store: StoreHandle,
    /// Nodes that share the platform's rates.
    pub nodes: u32,
}

/// Guards the upstream beside the node. Knows nothing of what enters here: calls come to it as requests of
/// nodes, this one included, and go back as replies.
pub struct CallGuard {
    pub(in crate::dispatch) context: Rc<NodeContext>,
    pub(in crate::dispatch) links: Rc<PeerLinks>,
    pub(in crate::dispatch) introduction: Rc<IntroductionService>,
    /// Requests that end their upstreams.
    pub(super) quarantine: Rc<QuarantineService>,
    /// The upstream, its gate, and the calls that wait at it.
    pub(in crate::dispatch) state: GuardState,
    /// Calls that the upstream works on.
    pub(in crate::dispatch) spans: CallsInFlight,
    pub(in crate::dispatch) drain: RefCell<DrainState>,
    /// Woken when an upstream of another service may be beside the node.
    pub(in crate::dispatch) service_changed: Notify,
    /// Calls that broke off last, until it is known whether the upstream ended with them.
    pub(super) cut_calls: RefCell<Option<CutCalls>>,
    /// Requests that the upstream has answered of late.
    pub(super) answered: RefCell<AnsweredRequests>,
    /// Bounds the repeats that reach the upstream.
    pub(super) throttle: RefCell<ServiceThrottle>,
    /// The guards of the same service.
    pub(super) guards: RefCell<GuardTracker>,
    pub(super) upstream_client: UpstreamClient,
    /// Whether a planned stop has been asked for.
    pub(super) is_closing: Cell<bool>,
    pub(super) closing_time: Duration,
    /// Time between two reports of a planned stop that does not end.
    pub(super) drain_period: Duration,
    /// Most calls waiting in front of the upstream.
    pub(super) queue: u32,
    pub(super) shed_policy: ShedPolicy,
    /// What keeps non-repeatable work from running twice.
    pub(super) once: OnceDesk,
    next_call: Cell<u64>,
}

impl CallGuard {
    /// A guard that knows no upstream yet.
    pub fn new(
        context: Rc<NodeContext>,
        links: Rc<PeerLinks>,
        introduction: Rc<IntroductionService>,
        quarantine: Rc<QuarantineService>,
        parts: GuardParts,
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
            drain_period: parts.drain.report_after,
            drain: RefCell::new(DrainState::new(parts.drain)),
            service_changed: Notify::new(),
            cut_calls: RefCell::default(),
            throttle: RefCell::new(ServiceThrottle::new(context.now(), parts.throttle)),
            guards: RefCell::new(GuardTracker::new(parts.first_start)),
            upstream_client: UpstreamClient::new(context.clock, parts.body_limit, parts.dialect),
            is_closing: Cell::new(false),
            closing_time: parts.closing_time,
            queue: parts.queue,
            shed_policy: parts.shed_policy,
            once: OnceDesk::new(holder, parts.store, parts.nodes),
            next_call: Cell::new(0),
            context,
        }
    }

    /// Identity for the next call at the gate, unique in this life of the node.
    pub(super) fn next_id(&self) -> u64 {
        let id = self.next_call.get();
        self.next_call.set(id + 1);
        id
    }

    /// A refusal of a call that ran nowhere, counted.
    pub fn refuse(&self, importance: Importance, reason: RefusalReason) -> CallReply {
        self.context.metrics.requests.refused(reason, importance);
        self.refusal(reason, CallOutcome::NotRun)
    }

    /// A refusal with a jittered time to come back.
    pub fn refusal(&self, reason: RefusalReason, outcome: CallOutcome) -> CallReply {
        let mut rng = self.context.rng.borrow_mut();
        let after = match reason {
            RefusalReason::Leaving | RefusalReason::NoUpstream | RefusalReason::NoConfiguration => {
                RetryAfter::draw_for_absence(&mut *rng)
            }
            _ => {
                let level = self.state.level(self.context.now());
                RetryAfter::draw(Importance::Normal, level, 1.0, &mut *rng)
            }
        };
        CallReply::refusal(reason, outcome, after.0)
    }
}
