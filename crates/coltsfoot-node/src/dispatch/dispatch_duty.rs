//! Assembly of the parts of the dispatch duty.

use std::{cell::RefCell, rc::Rc};

use coltsfoot_wire::peer::{CallReply, CallRequest, ClaimState};
use coltsfootroute::{
    id::{NodeId, RequestId},
    importance::Importance,
    name::TeamName,
    outcome::RefusalReason,
    quarantine::QuarantineUpdate,
    quota::CreditGrant,
};
use rand::SeedableRng;
use rand_pcg::Pcg64;

use super::{
    context::NodeContext,
    dispatch_parts::DispatchParts,
    entry_port::EntryPort,
    guard::{CallGuard, GuardSettings},
    ingress::CallIngress,
    links::{
        CallHandler, CreditDemand, CreditOwner, IntroductionService, IntroductionStore,
        PeerHandler, PeerLinks, QuarantineService, TokenReply,
    },
};
use crate::{answers::AnswerTracker, config::max_proof_age, memory::MemoryPool};

/// The parts of the dispatch duty. Each depends only on those listed above it.
pub(super) struct DispatchDuty {
    pub(super) context: Rc<NodeContext>,
    pub(super) links: Rc<PeerLinks>,
    pub(super) introduction: Rc<IntroductionService>,
    pub(super) introductions: IntroductionStore,
    pub(super) quarantine: Rc<QuarantineService>,
    pub(super) owner: Rc<CreditOwner>,
    pub(super) guard: Rc<CallGuard>,
    pub(super) ingress: Rc<CallIngress>,
}

impl DispatchDuty {
    /// Creates the parts of a node that has just started.
    pub(super) fn new(parts: DispatchParts) -> Self {
        let context = Rc::new(NodeContext {
            clock: parts.clock,
            identity: parts.identity,
            control: parts.control,
            scheduling: parts.scheduling,
            repeat_guard: parts.repeat_guard,
            config: parts.config,
            freshness: parts.freshness,
            proof_time: parts.revoke_within.map(max_proof_age),
            gossip: parts.gossip,
            descriptors: parts.descriptors,
            memory: parts.memory,
            metrics: parts.metrics,
            events: parts.events,
            rng: RefCell::new(Pcg64::seed_from_u64(parts.seed)),
            drift: Default::default(),
        });
        let links = Rc::new(PeerLinks::new(parts.clock, context.memory.clone()));
        let introductions = IntroductionStore::new(parts.store.clone());
        let resumes = parts.dialect.checks_instance();
        let introduction = Rc::new(IntroductionService::new(
            context.clone(),
            introductions.clone(),
            parts.store.eras().clone(),
            resumes,
        ));
        let quarantine =
            Rc::new(QuarantineService::new(context.clone(), links.clone(), parts.store.clone()));
        let owner = Rc::new(CreditOwner::new(context.clone()));
        let guard_settings = GuardSettings {
            dialect: parts.dialect,
            shed_policy: parts.shed_policy,
            throttle: parts.throttle,
            first_start: parts.first_start,
            body_limit: parts.body_limit,
            queue: parts.queue,
            drain: parts.drain,
            closing_time: parts.closing_time,
            grace_time: parts.grace_time,
            answers: parts.answers,
            store: parts.store,
            nodes: parts.nodes,
        };
        let guard = Rc::new(CallGuard::new(
            context.clone(),
            links.clone(),
            introduction.clone(),
            quarantine.clone(),
            guard_settings,
        ));
        let ingress = Rc::new(CallIngress::new(
            context.clone(),
            links.clone(),
            guard.clone(),
            introductions.clone(),
            quarantine.clone(),
            owner.clone(),
        ));
        Self { context, links, introduction, introductions, quarantine, owner, guard, ingress }
    }

    /// Creates the entry port for a client front.
    pub(super) fn entry(&self) -> EntryPort {
        EntryPort::new(self.context.clone(), self.guard.clone(), self.ingress.clone())
    }
}

impl CallHandler for DispatchDuty {
    fn answers(&self) -> &AnswerTracker {
        &self.guard.answers
    }

    fn memory(&self) -> &MemoryPool {
        &self.context.memory
    }

    fn refuse_unheld(&self) -> CallReply {
        // The importance of the call is lost with its content.
        let mut reply = self.guard.refuse(Importance::Background, RefusalReason::Overload);
        reply.stamp = self.context.events.stamp();
        reply
    }

    async fn call(self: Rc<Self>, call: CallRequest) -> CallReply {
        self.context.observe(call.stamp);
        let mut reply = self.guard.guard_call(call).await;
        reply.stamp = self.context.events.stamp();
        reply
    }
}

impl PeerHandler for DispatchDuty {
    fn context(&self) -> &NodeContext {
        &self.context
    }

    fn acquire_token(&self, request: RequestId, take_id: u64) -> TokenReply {
        self.ingress.acquire_own_token(request, take_id)
    }

    fn receive_quarantine(&self, news: QuarantineUpdate, wants_all: bool) -> QuarantineUpdate {
        self.quarantine.receive(news);
        if wants_all { self.quarantine.all() } else { QuarantineUpdate::default() }
    }

    fn acquire_credit(
        &self,
        requester: NodeId,
        team: &TeamName,
        demand: CreditDemand,
    ) -> Option<CreditGrant> {
        self.owner.grant(requester, team, demand)
    }

    fn claim_state(&self, claim: RequestId) -> ClaimState {
        self.guard.claim_state(claim)
    }
}
