//! Store tasks of claims, and queries between peers about the state of claims.

use std::{rc::Rc, time::Duration};

use coltsfoot_wire::peer::{ClaimState, read_claim_state, split_id};
use coltsfootroute::{
    id::RequestId,
    once::{
        ClaimHolder, ClaimId, HolderAnswer, HolderView, RecordSweeper, StoreTask, SweepStep,
        WallTime,
    },
    table::StoreUse,
};
use tokio::{
    task::spawn_local,
    time::{sleep, sleep_until, timeout},
};

use super::{call_guard::CallGuard, once_service::STORE_TASK_TIMEOUT};
use crate::{
    clock::wall_millis,
    dispatch::context::{CLAIM_REQUEST_BYTES, WORD_BYTES},
    metrics::ControlKind,
};

/// Timeout of a query to the holder of a claim.
const HOLDER_TIMEOUT: Duration = Duration::from_millis(500);
/// Number of rows that a sweep reads per request.
const SWEEP_PAGE: usize = 100;

impl CallGuard {
    /// Runs the store tasks of claims as they become due, each in its own local task.
    pub async fn run_store_tasks(self: Rc<Self>) {
        loop {
            let task = self.once.guard.borrow_mut().next_task(self.context.now());
            if let Some(task) = task {
                spawn_local(self.clone().run_store_task(task));
                continue;
            }
            let next = self.once.guard.borrow().next_task_at();
            let changed = self.once.tasks_changed.notified();
            match next {
                Some(at) => tokio::select! {
                    () = sleep_until(self.context.clock.instant_at(at).into()) => {}
                    () = changed => {}
                },
                None => changed.await,
            }
        }
    }

    async fn run_store_task(self: Rc<Self>, task: StoreTask) {
        let claim_id = task.claim_id;
        let mut request = Some(task.request);
        while let Some(next) = request.take() {
            let reply = self.once.carry_out(next).await;
            let mut guard = self.once.guard.borrow_mut();
            let follow = guard.on_task_reply(claim_id, &reply, self.context.now());
            request = follow.map(|task| task.request);
        }
        self.once.settled.notify_waiters();
        self.once.tasks_changed.notify_one();
    }

    /// Periodically shrinks the records whose retention has expired.
    pub async fn sweep_records(self: Rc<Self>) {
        loop {
            sleep(self.context.jittered(self.once.sweep_period)).await;
            self.sweep_once().await;
        }
    }

    async fn sweep_once(&self) {
        let mut sweeper = RecordSweeper::new(WallTime(wall_millis()), SWEEP_PAGE);
        let mut request = sweeper.start();
        loop {
            let reply =
                self.once.store.request(request, STORE_TASK_TIMEOUT, StoreUse::Answer).await;
            match sweeper.on_reply(&reply) {
                SweepStep::Send(next) => request = next,
                // Objects without a record only cost space; the store client has no delete yet.
                SweepStep::Done { .. } => return,
            }
        }
    }

    /// Queries the holder of a claim for its state.
    pub(super) async fn query_holder(&self, holder: ClaimHolder, claim: ClaimId) -> HolderView {
        if holder.node == self.context.identity.node {
            return self.local_holder_view(holder, claim);
        }
        let asked = timeout(HOLDER_TIMEOUT, self.query_remote_holder(holder, claim)).await;
        asked.ok().flatten().map_or(HolderView::Unreachable, HolderView::Answered)
    }

    fn local_holder_view(&self, holder: ClaimHolder, claim: ClaimId) -> HolderView {
        if holder.incarnation != self.context.identity.incarnation {
            return HolderView::Ended;
        }
        HolderView::Answered(self.once.guard.borrow().holder_answer(claim))
    }

    async fn query_remote_holder(
        &self,
        holder: ClaimHolder,
        claim: ClaimId,
    ) -> Option<HolderAnswer> {
        let link = self.links.get(holder.node).await.ok()?;
        let mut request = link.client().claim_state_request();
        let (high, low) = split_id(RequestId(claim.0));
        request.get().set_claim_high(high);
        request.get().set_claim_low(low);
        self.context.count_sent_request(ControlKind::Claim, CLAIM_REQUEST_BYTES, WORD_BYTES);
        let response = request.send().promise.await.ok()?;
        let state = read_claim_state(response.get().ok()?.get_state()).ok()?;
        Some(match state {
            ClaimState::NotMine => HolderAnswer::NotMine,
            ClaimState::NeverDispatched => HolderAnswer::NeverDispatched,
            ClaimState::Running => HolderAnswer::Running,
            ClaimState::Finished => HolderAnswer::Finished,
        })
    }

    /// Returns the state of a claim of this incarnation of the node.
    pub fn claim_state(&self, claim: RequestId) -> ClaimState {
        match self.once.guard.borrow().holder_answer(ClaimId(claim.0)) {
            HolderAnswer::NotMine => ClaimState::NotMine,
            HolderAnswer::NeverDispatched => ClaimState::NeverDispatched,
            HolderAnswer::Running => ClaimState::Running,
            HolderAnswer::Finished => ClaimState::Finished,
        }
    }
}
