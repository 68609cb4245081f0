//! Simulation of several guards and a table with injected faults, with an oracle that counts runs.

use std::time::Duration;

use coltsfootroute::{
    id::{Incarnation, NodeId},
    name::{OperationName, ServiceName},
    once::{
        AnswerBody, BodyDigest, BusyVerdict, ClaimDetails, ClaimHolder, ClaimId, ClaimRecord,
        ClaimResult, ClaimRun, ClaimStep, ClaimTicket, ClientKey, DispatchVerdict, HolderView,
        OnceCall, OnceGuard, OnceKey, OnceSettings, RecordSweeper, RunAnswer, StoredAnswer,
        SweepStep, TaskReply, TaskRequest, WallTime,
    },
    outcome::CallOutcome,
    table::{MemoryTable, ObjectReply, TableReply, TableRequest},
    time::MonotonicTime,
};
use indexmap::IndexMap;

pub const DEADLINE: Duration = Duration::from_millis(500);
pub const RETENTION: Duration = Duration::from_secs(3_600);
/// Largest body kept in the record, in bytes; larger ones go to the object store.
pub const MAX_INLINE_BYTES: usize = 40;

/// How the store handles one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreBehavior {
    Up,
    /// The request takes effect; its answer is lost.
    AckLost,
    /// The request is lost without an error.
    Lost,
    /// No answer; the request takes effect at a later `apply_late_writes`.
    Late,
    /// The store refuses the request.
    Down,
}

/// A request to the store that has not been delivered yet.
#[derive(Clone, Debug)]
pub struct PendingRequest {
    pub guard: usize,
    incarnation: Incarnation,
    pub claim_id: ClaimId,
    is_task: bool,
    request: TaskRequest,
}

/// One call to a guard and its result.
#[derive(Clone, Debug)]
pub struct CallAttempt {
    pub guard: usize,
    key: OnceKey,
    body_digest: BodyDigest,
    deadline: MonotonicTime,
    pub reported: Option<String>,
    outcome: Option<CallOutcome>,
    pub was_dispatched: bool,
}

/// Answer of a key's run, and the digest of the request that it answered.
struct FirstAnswer {
    request: BodyDigest,
    answer: Vec<u8>,
}

pub struct OnceWorld {
    pub table: MemoryTable,
    objects: IndexMap<String, Vec<u8>>,
    pub guards: Vec<OnceGuard>,
    incarnations: Vec<Incarnation>,
    pub pending_requests: Vec<PendingRequest>,
    late: Vec<TaskRequest>,
    pub tickets: IndexMap<ClaimId, ClaimTicket>,
    pub runs: IndexMap<ClaimId, ClaimRun>,
    pub attempts: IndexMap<ClaimId, CallAttempt>,
    run_counts: IndexMap<OnceKey, u32>,
    first_answers: IndexMap<OnceKey, FirstAnswer>,
    pub now: MonotonicTime,
    wall: WallTime,
    last_id: u128,
}

pub fn once_key(key: &str) -> OnceKey {
    OnceKey {
        service: ServiceName::new("payments"),
        operation: OperationName::new("submit-fee"),
        client_key: ClientKey::new(key),
    }
}

fn node(index: usize) -> NodeId {
    NodeId(([127, 0, 0, 1], 7_000 + index as u16).into())
}

impl OnceWorld {
    pub fn new(guards: usize) -> Self {
        let mut world = Self {
            table: MemoryTable::default(),
            objects: IndexMap::new(),
            guards: Vec::new(),
            incarnations: vec![Incarnation(1); guards],
            pending_requests: Vec::new(),
            late: Vec::new(),
            tickets: IndexMap::new(),
            runs: IndexMap::new(),
            attempts: IndexMap::new(),
            run_counts: IndexMap::new(),
            first_answers: IndexMap::new(),
            now: MonotonicTime::from_millis(1),
            wall: WallTime(1_000_000),
            last_id: 0,
        };
        world.guards = (0..guards).map(|index| world.new_guard(index)).collect();
        world
    }

    fn new_guard(&self, index: usize) -> OnceGuard {
        let holder = ClaimHolder { node: node(index), incarnation: self.incarnations[index] };
        let settings =
            OnceSettings { max_inline_bytes: MAX_INLINE_BYTES, ..OnceSettings::default() };
        OnceGuard::new(holder, settings)
    }

    pub fn begin(&mut self, guard: usize, key: &str, body: &str) -> ClaimId {
        self.last_id += 1;
        let claim_id = ClaimId(self.last_id);
        let (key, deadline) = (once_key(key), self.now + DEADLINE);
        let body_digest = BodyDigest::of(body.as_bytes());
        let attempt = CallAttempt {
            guard,
            key: key.clone(),
            body_digest,
            deadline,
            reported: None,
            outcome: None,
            was_dispatched: false,
        };
        self.attempts.insert(claim_id, attempt);
        let call = OnceCall { key, body_digest, retention: RETENTION, deadline };
        let step = self.guards[guard].begin(call, claim_id, self.wall);
        self.on_step(claim_id, step);
        claim_id
    }

    /// Lets the store handle the pending request at `index` with `behavior`, and passes the reply to its guard
    /// unless that has been restarted since.
    pub fn deliver(&mut self, index: usize, behavior: StoreBehavior) {
        let pending = self.pending_requests.remove(index);
        let reply = self.reply_to(&pending.request, behavior);
        if self.incarnations[pending.guard] != pending.incarnation {
            return;
        }
        let guard = &mut self.guards[pending.guard];
        if pending.is_task {
            if let Some(task) = guard.on_task_reply(pending.claim_id, &reply, self.now) {
                self.send(pending.claim_id, true, task.request);
            }
            return;
        }
        let TaskReply::Table(reply) = reply else { unreachable!("claims use the table only") };
        if let Some(step) = guard.on_reply(pending.claim_id, &reply, self.now) {
            self.on_step(pending.claim_id, step);
        }
    }

    fn reply_to(&mut self, request: &TaskRequest, behavior: StoreBehavior) -> TaskReply {
        let reply = match behavior {
            StoreBehavior::Up => return self.store(request),
            StoreBehavior::AckLost => {
                self.store(request);
                TableReply::Uncertain
            }
            StoreBehavior::Late => {
                self.late.push(request.clone());
                TableReply::Uncertain
            }
            StoreBehavior::Lost => TableReply::Uncertain,
            StoreBehavior::Down => TableReply::Unavailable,
        };
        match (request, reply) {
            (TaskRequest::Table(_), reply) => TaskReply::Table(reply),
            (TaskRequest::PutObject { .. }, _) => TaskReply::Object(ObjectReply::Uncertain),
        }
    }

    fn store(&mut self, request: &TaskRequest) -> TaskReply {
        match request {
            TaskRequest::Table(request) => TaskReply::Table(self.table.apply(request)),
            TaskRequest::PutObject { name, body } => {
                self.objects.insert(name.clone(), body.clone());
                TaskReply::Object(ObjectReply::Stored)
            }
        }
    }

    /// Applies the delayed writes, whose answers no guard waits for any more.
    pub fn apply_late_writes(&mut self) {
        for request in std::mem::take(&mut self.late) {
            self.store(&request);
        }
    }

    fn on_step(&mut self, claim_id: ClaimId, step: ClaimStep) {
        let result = match step {
            ClaimStep::Send(request) => {
                return self.send(claim_id, false, TaskRequest::Table(request));
            }
            ClaimStep::Done(result) => result,
        };
        let reason = result.reason().map(|reason| format!(" {reason}")).unwrap_or_default();
        match (result.outcome(), result) {
            (_, ClaimResult::Dispatch(ticket)) => {
                self.tickets.insert(claim_id, ticket);
            }
            (_, ClaimResult::Replay(answer)) => self.replay(claim_id, &answer),
            (_, ClaimResult::Busy(claim)) => self.on_busy(claim_id, &claim),
            (outcome, _) => self.record_outcome(
                claim_id,
                outcome.expect("a result other than dispatch"),
                &reason,
            ),
        }
    }

    fn send(&mut self, claim_id: ClaimId, is_task: bool, request: TaskRequest) {
        let guard = self.attempts[&claim_id].guard;
        let incarnation = self.incarnations[guard];
        self.pending_requests.push(PendingRequest {
            guard,
            incarnation,
            claim_id,
            is_task,
            request,
        });
    }

    /// Queries the holder, as a guard does when another attempt has claimed its key.
    fn on_busy(&mut self, claim_id: ClaimId, claim: &ClaimDetails) {
        let holder = (0..self.guards.len()).find(|index| node(*index) == claim.holder.node);
        let holder = holder.expect("a guard of this simulation");
        let view = if self.incarnations[holder] == claim.holder.incarnation {
            HolderView::Answered(self.guards[holder].holder_answer(claim.claim_id))
        } else {
            HolderView::Ended
        };
        let outcome = match BusyVerdict::of(view) {
            BusyVerdict::Retry => CallOutcome::Unknown,
            BusyVerdict::Refuse(outcome) => outcome,
        };
        if outcome == CallOutcome::NotRun {
            assert!(
                !self.attempts[&claim.claim_id].was_dispatched,
                "the holder denied a dispatch that took place"
            );
        }
        self.record_outcome(claim_id, outcome, &format!(" busy ({view:?})"));
    }

    fn replay(&mut self, claim_id: ClaimId, answer: &StoredAnswer) {
        let body = match &answer.body {
            AnswerBody::Inline(body) => body.clone(),
            AnswerBody::Object { name, .. } => self.objects[name].clone(),
        };
        let attempt = &self.attempts[&claim_id];
        let first = &self.first_answers[&attempt.key];
        assert_eq!(body, first.answer, "replayed another answer than the first one");
        assert_eq!(attempt.body_digest, first.request, "replayed the answer to another body");
        let text = format!(" replay of {}", String::from_utf8_lossy(&body[..body.len().min(12)]));
        self.record_outcome(claim_id, CallOutcome::Completed, &text);
    }

    fn record_outcome(&mut self, claim_id: ClaimId, outcome: CallOutcome, detail: &str) {
        let attempt = &mut self.attempts[&claim_id];
        assert_eq!(attempt.reported, None, "one request was answered twice");
        if outcome == CallOutcome::NotRun {
            assert!(!attempt.was_dispatched, "reported not-run after its dispatch");
        }
        attempt.outcome = Some(outcome);
        attempt.reported = Some(format!("{outcome}{detail}"));
    }

    pub fn dispatch(&mut self, claim_id: ClaimId) {
        let Some(ticket) = self.tickets.swap_remove(&claim_id) else { return };
        let guard = self.attempts[&claim_id].guard;
        match self.guards[guard].dispatch(ticket, self.now) {
            DispatchVerdict::Run(run) => {
                self.runs.insert(claim_id, run);
                self.count_run(claim_id);
            }
            DispatchVerdict::Expired => {
                self.record_outcome(claim_id, CallOutcome::NotRun, " deadline")
            }
        }
    }

    /// The oracle: each key runs at most once, and never after `not-run` was reported or the deadline of its caller.
    fn count_run(&mut self, claim_id: ClaimId) {
        let attempt = &mut self.attempts[&claim_id];
        attempt.was_dispatched = true;
        assert_ne!(attempt.outcome, Some(CallOutcome::NotRun), "ran after not-run was reported");
        assert!(self.now < attempt.deadline, "ran past its deadline");
        let count = self.run_counts.entry(attempt.key.clone()).or_default();
        *count += 1;
        assert_eq!(*count, 1, "ran twice");
    }

    pub fn finish(&mut self, claim_id: ClaimId, length: usize) {
        let Some(run) = self.runs.swap_remove(&claim_id) else { return };
        let attempt = &self.attempts[&claim_id];
        let mut body = format!("answer-{}", claim_id.0).into_bytes();
        body.resize(body.len().max(length), b'.');
        let first = FirstAnswer { request: attempt.body_digest, answer: body.clone() };
        self.first_answers.insert(attempt.key.clone(), first);
        let answer = RunAnswer { status: 200, headers: Vec::new(), body };
        self.guards[attempt.guard].finish(run, answer, self.now);
        self.record_outcome(claim_id, CallOutcome::Completed, &format!(" answer-{}", claim_id.0));
    }

    pub fn interrupt(&mut self, claim_id: ClaimId) {
        let Some(run) = self.runs.swap_remove(&claim_id) else { return };
        let guard = self.attempts[&claim_id].guard;
        self.guards[guard].interrupt(run, self.now);
        self.record_outcome(claim_id, CallOutcome::Unknown, " cut off");
    }

    /// Cancels a call before its dispatch, because the caller has disconnected or the guard refuses it.
    pub fn cancel(&mut self, claim_id: ClaimId) {
        let attempt = &self.attempts[&claim_id];
        if attempt.reported.is_some() || attempt.was_dispatched {
            return;
        }
        let guard = &mut self.guards[attempt.guard];
        match self.tickets.swap_remove(&claim_id) {
            Some(ticket) => guard.abandon(ticket, self.now),
            None => guard.cancel(claim_id, self.now),
        }
        self.record_outcome(claim_id, CallOutcome::NotRun, " cancelled");
    }

    /// Sends the guard's tasks that are due.
    pub fn send_tasks(&mut self, guard: usize) {
        while let Some(task) = self.guards[guard].next_task(self.now) {
            self.send(task.claim_id, true, task.request);
        }
    }

    /// Kills and restarts the guard's process; requests that it has sent may still arrive.
    pub fn restart(&mut self, guard: usize) {
        self.incarnations[guard] = self.incarnations[guard].next();
        self.guards[guard] = self.new_guard(guard);
        let attempts = &self.attempts;
        self.tickets.retain(|claim_id, _| attempts[claim_id].guard != guard);
        self.runs.retain(|claim_id, _| attempts[claim_id].guard != guard);
        for index in (0..self.pending_requests.len()).rev() {
            if self.pending_requests[index].guard == guard {
                self.late.push(self.pending_requests.remove(index).request);
            }
        }
        let unreported =
            self.attempts.iter().filter(|(_, call)| call.guard == guard && call.reported.is_none());
        let unreported: Vec<ClaimId> = unreported.map(|(claim_id, _)| *claim_id).collect();
        for claim_id in unreported {
            // The ingress node sees only that the connection has failed.
            self.record_outcome(claim_id, CallOutcome::Unknown, " guard lost");
        }
    }

    pub fn advance(&mut self, duration: Duration) {
        self.now = self.now + duration;
        self.wall = self.wall.after(duration);
    }

    /// Runs one pass of the sweeper without faults.
    pub fn sweep(&mut self) {
        let mut sweeper = RecordSweeper::new(self.wall, 2);
        let mut request = sweeper.start();
        loop {
            let reply = self.table.apply(&request);
            match sweeper.on_reply(&reply) {
                SweepStep::Send(next) => request = next,
                SweepStep::Done { objects } => {
                    self.objects.retain(|name, _| !objects.contains(name));
                    return;
                }
            }
        }
    }

    /// Runs until everything has settled, with the store up: applies delayed writes, ends tickets and runs, and
    /// completes tasks.
    pub fn settle(&mut self) {
        self.apply_late_writes();
        loop {
            while !self.pending_requests.is_empty() {
                self.deliver(0, StoreBehavior::Up);
            }
            while let Some(claim_id) = self.tickets.keys().next().copied() {
                self.dispatch(claim_id);
            }
            while let Some(claim_id) = self.runs.keys().next().copied() {
                self.finish(claim_id, 0);
            }
            self.advance(Duration::from_secs(1));
            (0..self.guards.len()).for_each(|guard| self.send_tasks(guard));
            if self.pending_requests.is_empty() {
                return;
            }
        }
    }

    pub fn record(&self, key: &str) -> Option<ClaimRecord> {
        let request = TableRequest::Read(once_key(key).row_key());
        let TableReply::Rows(rows) = self.table.clone().apply(&request) else { return None };
        rows.first().and_then(|row| ClaimRecord::parse(&row.value))
    }

    pub fn runs_of(&self, key: &str) -> u32 {
        self.run_counts.get(&once_key(key)).copied().unwrap_or(0)
    }

    /// Returns whether `holder` is a running incarnation.
    pub fn is_alive(&self, holder: ClaimHolder) -> bool {
        (0..self.guards.len()).any(|index| {
            node(index) == holder.node && self.incarnations[index] == holder.incarnation
        })
    }
}
