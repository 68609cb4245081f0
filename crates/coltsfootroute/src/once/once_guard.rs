//! Guard that owns all open claims of a node.

use std::collections::VecDeque;

use indexmap::IndexMap;

use super::{
    ClaimDetails, ClaimHolder, ClaimId, ClaimRecord, ClaimRefusal, ClaimResult, ClaimRun,
    ClaimStep, ClaimTicket, DispatchVerdict, HolderAnswer, OnceCall, OnceKey, OnceSettings,
    RunAnswer, StoreTask, TaskReply, TaskRequest, WallTime,
    answer_machine::{AnswerMachine, AnswerProgress},
    claim_machine::ClaimMachine,
    claim_refusal::ClaimEffect,
    open_claim::{ClaimStage, OpenClaim},
    release_machine::{ReleaseMachine, ReleaseStep},
};
use crate::{
    outcome::RefusalReason,
    table::{RowVersion, TableReply},
    time::MonotonicTime,
};

/// The claims that one incarnation of a node has begun and not settled.
///
/// At most one claim is open for a key. A claim is removed only when it is settled in the table: the
/// result of its run is stored, it is released, or it provably was never written.
#[derive(Debug, PartialEq, Eq)]
pub struct OnceGuard {
    holder: ClaimHolder,
    settings: OnceSettings,
    open: IndexMap<ClaimId, OpenClaim>,
    by_key: IndexMap<OnceKey, ClaimId>,
    /// Claims with a pending task and the earliest time at which it may be sent, sorted by that time, as
    /// all retry delays are equal. A claim whose task is being sent isn't listed.
    tasks: VecDeque<(MonotonicTime, ClaimId)>,
}

impl OnceGuard {
    /// Creates a guard without claims.
    pub fn new(holder: ClaimHolder, settings: OnceSettings) -> Self {
        Self {
            holder,
            settings,
            open: IndexMap::new(),
            by_key: IndexMap::new(),
            tasks: VecDeque::new(),
        }
    }

    /// Begins to claim `call` under the new `claim_id`. To be called immediately before dispatch: after
    /// admission, with a slot of the upstream acquired.
    ///
    /// Each request that a step returns must be followed by [`OnceGuard::on_reply`], or by
    /// [`OnceGuard::cancel`] if the caller doesn't wait for the reply.
    pub fn begin(&mut self, call: OnceCall, claim_id: ClaimId, wall: WallTime) -> ClaimStep {
        if let Some(result) = self.duplicate(&call, wall) {
            return ClaimStep::Done(result);
        }
        if self.open.len() >= self.settings.max_open_claims {
            let refusal = ClaimRefusal::new(RefusalReason::StoreUnavailable, ClaimEffect::None);
            return ClaimStep::Done(ClaimResult::Refuse(refusal));
        }
        let claim = ClaimDetails {
            claim_id,
            holder: self.holder,
            body_digest: call.body_digest,
            at: wall,
            until: wall.after(call.retention),
        };
        let row_key = call.key.row_key();
        let mut machine = ClaimMachine::new(claim, row_key.clone(), call.deadline);
        let request = machine.start();
        let stage = ClaimStage::Claiming(machine);
        self.by_key.insert(call.key.clone(), claim_id);
        self.open.insert(claim_id, OpenClaim { key: call.key, row_key, claim, stage });
        ClaimStep::Send(request)
    }

    /// Handles the table's reply for a claim in progress; `None` if the claim was cancelled in the meantime.
    pub fn on_reply(
        &mut self,
        claim_id: ClaimId,
        reply: &TableReply,
        now: MonotonicTime,
    ) -> Option<ClaimStep> {
        let open = self.open.get_mut(&claim_id)?;
        let ClaimStage::Claiming(machine) = &mut open.stage else {
            return None;
        };
        let step = machine.on_reply(reply, now);
        match &step {
            ClaimStep::Send(_) => {}
            ClaimStep::Done(ClaimResult::Dispatch(ticket)) => {
                open.stage = ClaimStage::Ticketed(ticket.version);
            }
            ClaimStep::Done(ClaimResult::Refuse(refusal)) => {
                self.release(claim_id, refusal.effect, now);
            }
            ClaimStep::Done(_) => self.settle(claim_id),
        }
        Some(step)
    }

    /// Cancels a claim that is still in progress, because its caller has disconnected or is refused. The
    /// request will never be dispatched.
    pub fn cancel(&mut self, claim_id: ClaimId, now: MonotonicTime) {
        let Some(open) = self.open.get(&claim_id) else {
            return;
        };
        if let ClaimStage::Claiming(machine) = &open.stage {
            let effect = machine.effect();
            self.release(claim_id, effect, now);
        }
    }

    /// Consumes a ticket: the last check before the request goes to the upstream.
    pub fn dispatch(&mut self, ticket: ClaimTicket, now: MonotonicTime) -> DispatchVerdict {
        let (claim_id, version) = (ticket.claim_id, ticket.version);
        let Some(open) = self.open.get_mut(&claim_id).filter(|open| open.is_ticketed()) else {
            // The ticket belongs to another guard; this one must neither run nor release its claim.
            return DispatchVerdict::Expired;
        };
        let verdict = ticket.dispatch(now, self.settings.max_ticket_age);
        match verdict {
            DispatchVerdict::Run(_) => open.stage = ClaimStage::Running(version),
            DispatchVerdict::Expired => {
                self.release(claim_id, ClaimEffect::Stored(version), now);
            }
        }
        verdict
    }

    /// Releases the claim of a ticket whose request won't be dispatched.
    pub fn abandon(&mut self, ticket: ClaimTicket, now: MonotonicTime) {
        if self.open.get(&ticket.claim_id).is_some_and(OpenClaim::is_ticketed) {
            self.release(ticket.claim_id, ClaimEffect::Stored(ticket.version), now);
        }
    }

    /// Records that the run ended with a complete answer. The next task stores its record; the answer to
    /// the caller may wait for that up to [`OnceSettings::max_answer_wait`].
    pub fn finish(&mut self, run: ClaimRun, answer: RunAnswer, now: MonotonicTime) {
        let max_inline_bytes = self.settings.max_inline_bytes;
        self.store(&run, now, |open, version| {
            let row_key = open.row_key.clone();
            AnswerMachine::finished(open.claim, row_key, version, answer, max_inline_bytes)
        });
    }

    /// Records that the run failed, was cut off or gave an incomplete answer: its effect is unknown.
    pub fn interrupt(&mut self, run: ClaimRun, now: MonotonicTime) {
        self.store(&run, now, |open, version| {
            AnswerMachine::interrupted(open.claim, open.row_key.clone(), version)
        });
    }

    /// Releases the claim of a run that the upstream provably never began, so that a repeat can run.
    pub fn withdraw(&mut self, run: ClaimRun, now: MonotonicTime) {
        let stage = self.open.get(&run.claim_id).map(|open| &open.stage);
        if let Some(&ClaimStage::Running(version)) = stage {
            self.release(run.claim_id, ClaimEffect::Stored(version), now);
        }
    }

    /// Returns the next background request that may be sent at `now`.
    ///
    /// Must be followed by [`OnceGuard::on_task_reply`], with an uncertain reply if the store doesn't
    /// answer: until then the claim has no further task.
    pub fn next_task(&mut self, now: MonotonicTime) -> Option<StoreTask> {
        let (_, claim_id) = self.tasks.pop_front_if(|(due, _)| *due <= now)?;
        let request = match &self.open.get(&claim_id)?.stage {
            ClaimStage::Storing(machine) => machine.request(),
            ClaimStage::Releasing(machine) => TaskRequest::Table(machine.start()),
            // A claim is listed only in the two stages above.
            _ => return None,
        };
        Some(StoreTask { claim_id, request })
    }

    /// Returns the earliest time at which the next task may be sent; `None` if there is no task.
    pub fn next_task_at(&self) -> Option<MonotonicTime> {
        self.tasks.front().map(|(due, _)| *due)
    }

    /// Handles the reply to a task. Returns the request to send immediately for the same claim, if any.
    pub fn on_task_reply(
        &mut self,
        claim_id: ClaimId,
        reply: &TaskReply,
        now: MonotonicTime,
    ) -> Option<StoreTask> {
        let open = self.open.get_mut(&claim_id)?;
        let next = match &mut open.stage {
            ClaimStage::Storing(machine) => match machine.on_reply(reply) {
                AnswerProgress::Next => Some(machine.request()),
                AnswerProgress::Retry => return self.retry_later(claim_id, now),
                AnswerProgress::Settled => None,
            },
            ClaimStage::Releasing(machine) => match release_step(machine, reply) {
                ReleaseStep::Send(request) => Some(TaskRequest::Table(request)),
                ReleaseStep::Retry => return self.retry_later(claim_id, now),
                ReleaseStep::Released => None,
            },
            _ => return None,
        };
        match next {
            Some(request) => Some(StoreTask { claim_id, request }),
            None => {
                self.settle(claim_id);
                None
            }
        }
    }

    /// Returns the answer to a peer's query about `claim_id`.
    pub fn holder_answer(&self, claim_id: ClaimId) -> HolderAnswer {
        self.open.get(&claim_id).map_or(HolderAnswer::NotMine, OpenClaim::holder_answer)
    }

    /// Returns whether the claim is settled in the table or was never begun by this guard.
    pub fn is_settled(&self, claim_id: ClaimId) -> bool {
        !self.open.contains_key(&claim_id)
    }

    /// Returns the number of claims in any stage.
    pub fn open_claims(&self) -> usize {
        self.open.len()
    }

    /// Returns the number of claims that never led to a dispatch and still have to be released.
    pub fn abandoned_claims(&self) -> usize {
        let is_releasing = |open: &&OpenClaim| matches!(open.stage, ClaimStage::Releasing(_));
        self.open.values().filter(is_releasing).count()
    }

    /// Returns the number of runs whose result still has to be stored.
    pub fn unstored_answers(&self) -> usize {
        let is_storing = |open: &&OpenClaim| matches!(open.stage, ClaimStage::Storing(_));
        self.open.values().filter(is_storing).count()
    }

    /// Answers a request whose key has an open claim at this guard, without querying the store.
    fn duplicate(&self, call: &OnceCall, wall: WallTime) -> Option<ClaimResult> {
        let open = self.open.get(self.by_key.get(&call.key)?)?;
        let is_same = open.claim.body_digest == call.body_digest;
        Some(match &open.stage {
            // Nothing has run or will run under that claim, so that no body can conflict with it.
            ClaimStage::Releasing(_) => ClaimResult::Refuse(ClaimRefusal::new(
                RefusalReason::StoreUnavailable,
                ClaimEffect::None,
            )),
            // The record may have been stored, and swept together with its object, while the
            // acknowledgement was lost.
            ClaimStage::Storing(_) if wall >= open.claim.until => ClaimResult::Expired,
            _ if !is_same => ClaimResult::Conflict,
            ClaimStage::Storing(machine) => match machine.replayable() {
                Some(ClaimRecord::Finished { answer, .. }) => ClaimResult::Replay(answer.clone()),
                Some(ClaimRecord::Interrupted(_)) => ClaimResult::Interrupted,
                _ => ClaimResult::Busy(open.claim),
            },
            ClaimStage::Claiming(_) | ClaimStage::Ticketed(_) | ClaimStage::Running(_) => {
                ClaimResult::Busy(open.claim)
            }
        })
    }

    fn store(
        &mut self,
        run: &ClaimRun,
        now: MonotonicTime,
        machine: impl FnOnce(&OpenClaim, RowVersion) -> AnswerMachine,
    ) {
        let Some(open) = self.open.get_mut(&run.claim_id) else {
            return;
        };
        if let ClaimStage::Running(version) = open.stage {
            open.stage = ClaimStage::Storing(machine(open, version));
            self.tasks.push_front((now, run.claim_id));
        }
    }

    /// Releases a claim that may be in the table, or drops one that provably isn't.
    fn release(&mut self, claim_id: ClaimId, effect: ClaimEffect, now: MonotonicTime) {
        let Some(open) = self.open.get_mut(&claim_id) else {
            return;
        };
        match ReleaseMachine::for_effect(claim_id, open.row_key.clone(), effect) {
            Some(machine) => {
                open.stage = ClaimStage::Releasing(machine);
                self.tasks.push_front((now, claim_id));
            }
            None => self.settle(claim_id),
        }
    }

    fn settle(&mut self, claim_id: ClaimId) {
        if let Some(open) = self.open.swap_remove(&claim_id) {
            self.by_key.swap_remove(&open.key);
        }
    }

    fn retry_later(&mut self, claim_id: ClaimId, now: MonotonicTime) -> Option<StoreTask> {
        self.tasks.push_back((now + self.settings.task_retry_delay, claim_id));
        None
    }
}

fn release_step(machine: &ReleaseMachine, reply: &TaskReply) -> ReleaseStep {
    match reply {
        TaskReply::Table(reply) => machine.on_reply(reply),
        TaskReply::Object(_) => ReleaseStep::Retry,
    }
}
