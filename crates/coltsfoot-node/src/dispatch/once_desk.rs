//! The claims of this node: what must be stored or released, and what peers ask about them.

use std::{cell::RefCell, rc::Rc, time::Duration};

use coltsfoot_wire::peer::{ClaimState, read_claim_state, split_id};
use coltsfootroute::{
    id::RequestId,
    once::{
        ClaimHolder, ClaimId, ErrandReply, ErrandRequest, HolderAnswer, HolderView, OnceGuard,
        OnceSettings, RecordSweeper, StoreErrand, SweepStep, WallTime,
    },
    table::StoreUse,
};
use rand::RngExt;
use tokio::{
    sync::Notify,
    task::spawn_local,
    time::{sleep, sleep_until, timeout},
};

use super::{
    control_traffic::{CLAIM_BYTES, WORD_BYTES},
    dispatcher::Dispatcher,
};
use crate::{clock::wall_millis, metrics::ControlKind, store::StoreHandle};

/// Time for one errand to the store.
const ERRAND_DEADLINE: Duration = Duration::from_secs(2);
/// Longest wait for the holder of a claim to say what became of it.
const HOLDER_TIMEOUT: Duration = Duration::from_millis(500);
/// All nodes together sweep about once in so long.
const SWEEP_PERIOD: Duration = Duration::from_secs(60);
/// Rows that a sweep reads at a time.
const SWEEP_PAGE: usize = 100;

/// The claims of this node.
pub struct OnceDesk {
    pub(super) guard: RefCell<OnceGuard>,
    pub(super) store: StoreHandle,
    /// Woken when an errand may have come up.
    pub(super) errands_changed: Notify,
    /// Woken when a claim was settled in the table.
    pub(super) settled: Notify,
    /// Longest time that a caller's answer waits for its record.
    pub(super) answer_wait: Duration,
    sweep_period: Duration,
}

impl OnceDesk {
    /// No claims yet; `nodes` is the number of nodes that share the sweeping.
    pub fn new(holder: ClaimHolder, store: StoreHandle, nodes: u32) -> Self {
        let settings = OnceSettings::default();
        Self {
            answer_wait: settings.longest_answer_wait,
            guard: RefCell::new(OnceGuard::new(holder, settings)),
            store,
            errands_changed: Notify::new(),
            settled: Notify::new(),
            sweep_period: SWEEP_PERIOD.saturating_mul(nodes.max(1)),
        }
    }

    async fn carry_out(&self, request: ErrandRequest) -> ErrandReply {
        match request {
            ErrandRequest::Table(request) => ErrandReply::Table(
                self.store.request(request, ERRAND_DEADLINE, StoreUse::Answer).await,
            ),
            ErrandRequest::PutObject { name, body } => ErrandReply::Object(
                self.store.put_object(&name, body.into(), ERRAND_DEADLINE).await,
            ),
        }
    }
}

impl Dispatcher {
    /// Sends what claims owe the store, each as a task of its own.
    pub(super) async fn run_errands(self: Rc<Self>) {
        loop {
            let errand = self.once.guard.borrow_mut().next_errand(self.clock.now());
            if let Some(errand) = errand {
                spawn_local(self.clone().run_errand(errand));
                continue;
            }
            let next = self.once.guard.borrow().next_errand_at();
            let changed = self.once.errands_changed.notified();
            match next {
                Some(at) => tokio::select! {
                    () = sleep_until(self.clock.instant_at(at).into()) => {}
                    () = changed => {}
                },
                None => changed.await,
            }
        }
    }

    async fn run_errand(self: Rc<Self>, errand: StoreErrand) {
        let claim_id = errand.claim_id;
        let mut request = Some(errand.request);
        while let Some(next) = request.take() {
            let reply = self.once.carry_out(next).await;
            let mut guard = self.once.guard.borrow_mut();
            let follow = guard.on_errand_reply(claim_id, &reply, self.clock.now());
            request = follow.map(|errand| errand.request);
        }
        self.once.settled.notify_waiters();
        self.once.errands_changed.notify_one();
    }

    /// Shrinks the records whose retention has ended, now and then.
    pub(super) async fn sweep_records(self: Rc<Self>) {
        loop {
            let jitter = self.rng.borrow_mut().random_range(0.5..1.5);
            sleep(self.once.sweep_period.mul_f64(jitter)).await;
            self.sweep_once().await;
        }
    }

    async fn sweep_once(&self) {
        let mut sweeper = RecordSweeper::new(WallTime(wall_millis()), SWEEP_PAGE);
        let mut request = sweeper.start();
        loop {
            let reply = self.once.store.request(request, ERRAND_DEADLINE, StoreUse::Answer).await;
            match sweeper.on_reply(&reply) {
                SweepStep::Ask(next) => request = next,
                // Objects without a record cost room only; the store client has no delete yet.
                SweepStep::Done { .. } => return,
            }
        }
    }

    /// Asks the holder of a claim what became of it.
    pub(super) async fn ask_holder(&self, holder: ClaimHolder, claim: ClaimId) -> HolderView {
        if holder.node == self.identity.node {
            return self.own_view(holder, claim);
        }
        let asked = timeout(HOLDER_TIMEOUT, self.ask_remote_holder(holder, claim)).await;
        asked.ok().flatten().map_or(HolderView::Unreachable, HolderView::Answered)
    }

    fn own_view(&self, holder: ClaimHolder, claim: ClaimId) -> HolderView {
        if holder.incarnation != self.identity.incarnation {
            return HolderView::Ended;
        }
        HolderView::Answered(self.once.guard.borrow().holder_answer(claim))
    }

    async fn ask_remote_holder(&self, holder: ClaimHolder, claim: ClaimId) -> Option<HolderAnswer> {
        let link = self.links.get(holder.node).await.ok()?;
        let mut request = link.client().claim_state_request();
        let (high, low) = split_id(RequestId(claim.0));
        request.get().set_claim_high(high);
        request.get().set_claim_low(low);
        self.count_asked(ControlKind::Claim, CLAIM_BYTES, WORD_BYTES);
        let response = request.send().promise.await.ok()?;
        let state = read_claim_state(response.get().ok()?.get_state()).ok()?;
        Some(match state {
            ClaimState::NotMine => HolderAnswer::NotMine,
            ClaimState::NeverDispatched => HolderAnswer::NeverDispatched,
            ClaimState::Running => HolderAnswer::Running,
            ClaimState::Finished => HolderAnswer::Finished,
        })
    }

    /// What became of a claim of this life of the node.
    pub(super) fn claim_state(&self, claim: RequestId) -> ClaimState {
        match self.once.guard.borrow().holder_answer(ClaimId(claim.0)) {
            HolderAnswer::NotMine => ClaimState::NotMine,
            HolderAnswer::NeverDispatched => ClaimState::NeverDispatched,
            HolderAnswer::Running => ClaimState::Running,
            HolderAnswer::Finished => ClaimState::Finished,
        }
    }
}
