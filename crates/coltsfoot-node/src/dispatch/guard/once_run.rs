//! Execution of non-repeatable operations: claim of the key, dispatch, record of the answer.

use std::{rc::Rc, time::Duration};

use coltsfoot_wire::peer::{CallReply, CallRequest, ReplyBody};
use coltsfootroute::{
    event::{ClaimOutcome, EventKind, HybridStamp},
    once::{
        AnswerBody, AnswerHeader, BodyDigest, BusyVerdict, ClaimId, ClaimResult, ClaimRun,
        ClaimStep, ClientKey, DispatchVerdict, OnceCall, OnceKey, RunAnswer, StoredAnswer,
        WallTime,
    },
    outcome::{CallOutcome, RefusalReason},
    table::{ObjectReply, StoreUse},
    time::MonotonicTime,
};
use http::header::CONTENT_TYPE;
use rand::RngExt;
use tokio::time::{sleep, timeout};

use super::{
    call_guard::CallGuard, calls_in_flight::CallSpan, run_permit::RunPermit,
    upstream_run::answer_outcome,
};
use crate::clock::wall_millis;

/// Delay before a claim is tried again on a key whose record is about to change.
const BUSY_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Timeout for fetching a large answer from the object store.
const OBJECT_TIMEOUT: Duration = Duration::from_secs(2);

impl CallGuard {
    /// Claims the call's key, then runs the call, or replies with the answer or state of the earlier run.
    pub(super) async fn run_once(
        self: &Rc<Self>,
        call: &CallRequest,
        deadline: MonotonicTime,
        span: &Rc<CallSpan>,
        permit: RunPermit,
    ) -> CallReply {
        loop {
            let result = self.claim(call, deadline).await;
            self.note_claim(call, &result);
            match result {
                ClaimResult::Dispatch(ticket) => {
                    let verdict = self.once.guard.borrow_mut().dispatch(ticket, self.context.now());
                    self.once.tasks_changed.notify_one();
                    let DispatchVerdict::Run(run) = verdict else {
                        return self.refusal(RefusalReason::Deadline, CallOutcome::NotRun);
                    };
                    let reply = self.run(call, deadline, span, permit).await;
                    self.settle_run(run, &reply).await;
                    return reply;
                }
                ClaimResult::Replay(answer) => return self.replay(answer).await,
                ClaimResult::Busy(note) => {
                    let view = self.query_holder(note.holder, note.claim_id).await;
                    let verdict = BusyVerdict::of(view);
                    if let BusyVerdict::Refuse(outcome) = verdict {
                        return self.refusal(RefusalReason::KeyInProgress, outcome);
                    }
                    if self.context.now() + BUSY_RETRY_DELAY >= deadline {
                        return self.refusal(RefusalReason::KeyInProgress, CallOutcome::Unknown);
                    }
                    sleep(BUSY_RETRY_DELAY).await;
                }
                refused => {
                    let reason = refused.reason().unwrap_or(RefusalReason::StoreUnavailable);
                    let outcome = refused.outcome().unwrap_or(CallOutcome::Unknown);
                    return self.refusal(reason, outcome);
                }
            }
        }
    }

    async fn claim(&self, call: &CallRequest, deadline: MonotonicTime) -> ClaimResult {
        let claim_id = ClaimId(self.context.rng.borrow_mut().random());
        let once_call = self.once_call(call, deadline);
        let wall = WallTime(wall_millis());
        let mut step = self.once.guard.borrow_mut().begin(once_call, claim_id, wall);
        loop {
            let request = match step {
                ClaimStep::Send(request) => request,
                ClaimStep::Done(result) => {
                    self.once.tasks_changed.notify_one();
                    return result;
                }
            };
            let time = deadline.since(self.context.now());
            let reply = self.once.store.request(request, time, StoreUse::Claim).await;
            let next = self.once.guard.borrow_mut().on_reply(claim_id, &reply, self.context.now());
            // Claims are not cancelled during this loop, so the guard always knows this claim.
            step = next.unwrap_or(ClaimStep::Done(ClaimResult::Interrupted));
        }
    }

    fn once_call(&self, call: &CallRequest, deadline: MonotonicTime) -> OnceCall {
        let retention_s =
            self.context.config.load().and_then(|config| config.retention_s(&call.service));
        OnceCall {
            key: OnceKey {
                service: call.service.clone(),
                operation: call.operation.clone(),
                client_key: ClientKey::new(call.key.as_deref().unwrap_or_default()),
            },
            body_digest: BodyDigest::of(&call.body),
            retention: Duration::from_secs(retention_s.unwrap_or_default()),
            deadline,
        }
    }

    /// Stores the result of a run. The caller's answer is delayed until the record is stored, for at most
    /// `answer_wait`.
    async fn settle_run(&self, run: ClaimRun, reply: &CallReply) {
        let claim_id = run.claim_id();
        let now = self.context.now();
        {
            let mut guard = self.once.guard.borrow_mut();
            match (&reply.body, reply.outcome) {
                (ReplyBody::Answer { .. }, _) => guard.finish(run, run_answer(reply), now),
                (ReplyBody::Refusal { .. }, CallOutcome::NotRun) => guard.withdraw(run, now),
                (ReplyBody::Refusal { .. }, _) => guard.interrupt(run, now),
            }
        }
        self.once.tasks_changed.notify_one();
        let settled = async {
            loop {
                let changed = self.once.settled.notified();
                if self.once.guard.borrow().is_settled(claim_id) {
                    return;
                }
                changed.await;
            }
        };
        // After the timeout the record is stored in the background; a repeat finds the run at this node.
        let _ = timeout(self.once.answer_wait, settled).await;
    }

    async fn replay(&self, answer: StoredAnswer) -> CallReply {
        let body = match answer.body {
            AnswerBody::Inline(body) => body,
            AnswerBody::Object { name, digest } => {
                let fetched = self.once.store.get_object(&name, OBJECT_TIMEOUT).await;
                match fetched {
                    ObjectReply::Found(body) if BodyDigest::of(&body) == digest => body.to_vec(),
                    // The operation ran, but its answer is not available now.
                    _ => {
                        return self.refusal(RefusalReason::StoreUnavailable, CallOutcome::Unknown);
                    }
                }
            }
        };
        let header = answer.headers.into_iter().find(|header| header.name == CONTENT_TYPE.as_str());
        CallReply {
            outcome: answer_outcome(answer.status),
            reached_upstream: false,
            failed_below: false,
            body: ReplyBody::Answer {
                status: answer.status,
                content_type: header.map(|header| header.value).unwrap_or_default(),
                headers: Vec::new(),
                body: body.into(),
                replayed: true,
            },
            levels: Vec::new(),
            upstream_time: Duration::ZERO,
            notice: None,
            occupancy: None,
            stamp: HybridStamp::default(),
        }
    }

    fn note_claim(&self, call: &CallRequest, result: &ClaimResult) {
        let outcome = match result {
            ClaimResult::Dispatch(_) => ClaimOutcome::Granted,
            ClaimResult::Replay(_) => ClaimOutcome::Replayed,
            ClaimResult::Conflict => ClaimOutcome::Conflict,
            ClaimResult::Expired => ClaimOutcome::Expired,
            ClaimResult::Busy(_) | ClaimResult::Interrupted => ClaimOutcome::InProgress,
            ClaimResult::Refuse(_) => ClaimOutcome::Unavailable,
        };
        self.context.metrics.store.claimed(outcome);
        self.context.events.emit(EventKind::ClaimDecided {
            request: call.request,
            service: call.service.clone(),
            operation: call.operation.clone(),
            outcome,
        });
    }
}

fn run_answer(reply: &CallReply) -> RunAnswer {
    let ReplyBody::Answer { status, content_type, body, .. } = &reply.body else {
        return RunAnswer { status: 0, headers: Vec::new(), body: Vec::new() };
    };
    let header = AnswerHeader { name: CONTENT_TYPE.to_string(), value: content_type.clone() };
    RunAnswer { status: *status, headers: vec![header], body: body.to_vec() }
}
