//! Handling of a client request: checks, retry account, routing, final reply.

use std::{
    hash::{Hash, Hasher},
    net::IpAddr,
    rc::Rc,
    sync::Arc,
    time::Duration,
};

use coltsfoot_wire::peer::{CallReply, ReplyBody};
use coltsfootroute::{
    admission::ShedRefusal,
    deadline::DeadlineVerdict,
    id::RequestId,
    importance::Importance,
    name::TeamName,
    outcome::{CallOutcome, RefusalReason},
    retry::OpenResult,
    schema::{ClientEntry, OperationEntry, TeamEntry},
    time::MonotonicTime,
};
use rand::RngExt;

use super::{
    call_ingress::CallIngress, incoming_call::IncomingCall, routed_call::RoutedCall,
    team_credits::CreditDenial,
};
use crate::{border::RepeatGuard, dispatch::guard::CallKind, http::HttpReply};

/// Parameters of a client request that passed the entry checks.
struct EntryCheck {
    importance: Importance,
    team: Option<Arc<TeamEntry>>,
    /// Number of turns that the team has in each round of a queue.
    turns: u32,
    deadline: MonotonicTime,
    /// Time within which an answer is of full use to the client; `None` if a later one is as good.
    objective: Option<Duration>,
    budget: u32,
    repeatable: bool,
    most_attempts: Option<u32>,
}

/// Closes the retry account of a request on drop: when its final reply is known, or its client has disconnected.
struct OpenAccount<'a> {
    ingress: &'a CallIngress,
    request: RequestId,
}

impl Drop for OpenAccount<'_> {
    fn drop(&mut self) {
        let mut accounts = self.ingress.accounts.borrow_mut();
        accounts.close(self.request);
    }
}

impl CallIngress {
    /// Serves one request of a client.
    pub async fn serve_client(self: &Rc<Self>, call: IncomingCall, client: IpAddr) -> HttpReply {
        let request = RequestId(self.context.rng.borrow_mut().random());
        let reply = self.serve_entry(request, call, client).await;
        let reply = HttpReply::from_call(request, reply);
        if self.guard.is_closing() { reply.with_close() } else { reply }
    }

    /// Serves one request of a client under a request identifier that its listener has determined.
    pub async fn serve_entry(
        self: &Rc<Self>,
        request: RequestId,
        call: IncomingCall,
        client: IpAddr,
    ) -> CallReply {
        // A body that is sent slowly must not make the request old.
        let entered = self.context.now();
        let Some(_permit) = self.guard.start_call(CallKind::Client) else {
            return self.refuse_entry(
                request,
                &call,
                Importance::Background,
                RefusalReason::Leaving,
                None,
            );
        };
        let check = match self.check_entry(&call) {
            Ok(check) => check,
            Err(reason) => {
                return self.refuse_entry(request, &call, Importance::Background, reason, None);
            }
        };
        if let Some(ShedRefusal { service, retry_after }) =
            self.shed_at_root(request, &call, check.importance, check.team.as_deref())
        {
            let reason = RefusalReason::Overload;
            self.refuse_entry(request, &call, check.importance, reason, Some(service));
            let mut reply = CallReply::refusal(reason, CallOutcome::NotRun, retry_after.0);
            let (service, operation) = (&call.service, &call.operation);
            self.shorten_hint(service, operation, check.objective, call.received, &mut reply);
            return reply;
        }
        let credit = match &check.team {
            Some(team) => self.acquire_credit(team).await,
            None => Ok(None),
        };
        let credit = match credit {
            Ok(credit) => credit,
            Err(denial) => return self.refuse_for_rate(request, &call, check.importance, &denial),
        };
        let opened = self.accounts.borrow_mut().open(
            self.context.now(),
            request,
            check.budget,
            check.deadline,
        );
        let _account = OpenAccount { ingress: self, request };
        let routed = RoutedCall {
            request,
            service: call.service,
            operation: call.operation,
            importance: check.importance,
            deadline: check.deadline,
            entered,
            account: (opened == OpenResult::Opened).then_some(self.context.identity.node),
            client: match &check.team {
                Some(team) => queue_client(&team.name, check.turns, request),
                None => hash_of(&client),
            },
            team: check.team.map(|team| team.name.clone()),
            under_way: false,
            is_repeat: false,
            repeatable: check.repeatable,
            most_attempts: check.most_attempts,
            key: call.key,
            content_type: call.content_type,
            head: call.head,
            body: call.body,
        };
        let mut reply = self.route_and_record(&routed, call.received).await;
        let (service, operation) = (&routed.service, &routed.operation);
        self.shorten_hint(service, operation, check.objective, call.received, &mut reply);
        if let Some(credit) = credit.filter(|_| reply.outcome == CallOutcome::NotRun) {
            self.refund_credit(&credit);
        }
        reply
    }

    /// Refuses a request for which its team has no credit.
    fn refuse_for_rate(
        &self,
        request: RequestId,
        call: &IncomingCall,
        importance: Importance,
        denial: &CreditDenial,
    ) -> CallReply {
        let mut reply = self.refuse_entry(request, call, importance, denial.reason, None);
        if let (ReplyBody::Refusal { retry_after, .. }, Some(wait)) = (&mut reply.body, denial.wait)
        {
            // The guard's retry hint, added to the wait, spreads the clients that retry for the same credit.
            *retry_after += wait;
        }
        reply
    }

    fn check_entry(&self, call: &IncomingCall) -> Result<EntryCheck, RefusalReason> {
        let snapshot = self.config_snapshot()?;
        let operation = snapshot.config.operation(&call.service, &call.operation)?;
        let entry = operation.client.as_ref().ok_or(RefusalReason::UnknownOperation)?;
        let team = self.find_team(call, entry, &snapshot)?;
        self.check_key(operation, call)?;
        let deadline = entry_deadline(entry, call);
        self.check_deadline(call, deadline)?;
        Ok(EntryCheck {
            importance: snapshot.config.ranks().importance(entry, team.as_deref()),
            turns: team.as_ref().map_or(1, |team| snapshot.config.teams().turns(team)),
            team,
            deadline,
            objective: entry.objective_ms.map(Duration::from_millis),
            budget: entry.retry_budget,
            repeatable: operation.repeatable,
            most_attempts: operation.most_attempts,
        })
    }

    /// Checks that a non-repeatable operation has an idempotency key, if runs are claimed by key.
    pub(super) fn check_key(
        &self,
        operation: &OperationEntry,
        call: &IncomingCall,
    ) -> Result<(), RefusalReason> {
        let needs_key = self.context.repeat_guard == RepeatGuard::Claims && !operation.repeatable;
        if needs_key && call.key.is_none() { Err(RefusalReason::BadRequest) } else { Ok(()) }
    }

    /// Refuses a call that cannot finish by its deadline, judged by the recent durations of such calls.
    pub(super) fn check_deadline(
        &self,
        call: &IncomingCall,
        deadline: MonotonicTime,
    ) -> Result<(), RefusalReason> {
        let now = self.context.now();
        let needed = match self.context.control.is_on() {
            true => self.times.borrow_mut().needed(now, &call.service, &call.operation),
            false => None,
        };
        match self.deadlines.admit(now, deadline, needed) {
            DeadlineVerdict::Admitted => Ok(()),
            DeadlineVerdict::Passed | DeadlineVerdict::TooShort { .. } => {
                Err(RefusalReason::Deadline)
            }
        }
    }
}

fn entry_deadline(entry: &ClientEntry, call: &IncomingCall) -> MonotonicTime {
    let max = Duration::from_millis(entry.deadline_ms);
    call.received + call.remaining.map_or(max, |remaining| remaining.min(max))
}

/// Returns the client hash by which a team's request is queued. A team counts as one client, however many hosts its
/// requests come from, but has as many turns in a queue as its rate entitles it to; the request takes one of them.
fn queue_client(team: &TeamName, turns: u32, request: RequestId) -> u64 {
    hash_of(&(team, request.0 % u128::from(turns)))
}

fn hash_of(client: &impl Hash) -> u64 {
    let mut hasher = twox_hash::XxHash64::with_seed(0);
    client.hash(&mut hasher);
    hasher.finish()
}
