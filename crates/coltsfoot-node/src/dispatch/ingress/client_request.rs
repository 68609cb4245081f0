//! Taking a client request in: checks, retry account, routing, final answer.

use std::{net::IpAddr, rc::Rc, time::Duration};

use coltsfoot_wire::peer::CallReply;
use coltsfootroute::{
    admission::ShedRefusal,
    deadline::DeadlineVerdict,
    id::RequestId,
    importance::Importance,
    outcome::{CallOutcome, RefusalReason},
    retry::OpenAnswer,
    schema::{ClientEntry, OperationEntry},
    time::MonotonicTime,
};
use rand::RngExt;

use super::{call_ingress::CallIngress, incoming_call::IncomingCall, routed_call::RoutedCall};
use crate::{border::RepeatGuard, dispatch::guard::CallKind, http::HttpReply};

/// A client request that passed the checks of its form.
struct EntryCheck {
    importance: Importance,
    deadline: MonotonicTime,
    budget: u32,
    repeatable: bool,
    most_attempts: Option<u32>,
}

/// Closes the retry account of a request when its final answer stands, or its client is gone.
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

    /// Serves one request of a client under an identity that its listener has found.
    pub async fn serve_entry(
        self: &Rc<Self>,
        request: RequestId,
        call: IncomingCall,
        client: IpAddr,
    ) -> CallReply {
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
            self.shed_at_root(&call, check.importance)
        {
            let reason = RefusalReason::Overload;
            self.refuse_entry(request, &call, check.importance, reason, Some(service));
            return CallReply::refusal(reason, CallOutcome::NotRun, retry_after.0);
        }
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
            account: (opened == OpenAnswer::Opened).then_some(self.context.identity.node),
            client: client_hash(client),
            under_way: false,
            is_repeat: false,
            repeatable: check.repeatable,
            most_attempts: check.most_attempts,
            key: call.key,
            content_type: call.content_type,
            head: call.head,
            body: call.body,
        };
        self.route_and_record(&routed, call.received).await
    }

    fn check_entry(&self, call: &IncomingCall) -> Result<EntryCheck, RefusalReason> {
        let config = self.context.config.in_force()?;
        let operation = config.operation(&call.service, &call.operation)?;
        let entry = operation.client.as_ref().ok_or(RefusalReason::UnknownOperation)?;
        self.check_key(operation, call)?;
        let deadline = entry_deadline(entry, call);
        self.check_deadline(call, deadline)?;
        Ok(EntryCheck {
            importance: entry.importance,
            deadline,
            budget: entry.retry_budget,
            repeatable: operation.repeatable,
            most_attempts: operation.most_attempts,
        })
    }

    /// A non-repeatable operation needs an idempotency key where runs are claimed by key.
    pub(super) fn check_key(
        &self,
        operation: &OperationEntry,
        call: &IncomingCall,
    ) -> Result<(), RefusalReason> {
        let needs_key = self.context.repeat_guard == RepeatGuard::Claims && !operation.repeatable;
        if needs_key && call.key.is_none() { Err(RefusalReason::BadRequest) } else { Ok(()) }
    }

    /// Refuses work that cannot end in time, by the time such calls have taken of late.
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
    let most = Duration::from_millis(entry.deadline_ms);
    call.received + call.remaining.map_or(most, |remaining| remaining.min(most))
}

fn client_hash(client: IpAddr) -> u64 {
    use std::hash::{Hash, Hasher};
    let mut hasher = twox_hash::XxHash64::with_seed(0);
    client.hash(&mut hasher);
    hasher.finish()
}
