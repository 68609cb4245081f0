//! Routing of a call to the upstreams of its service: selection, attempts and retries.

use std::{cell::Cell, rc::Rc, time::Duration};

use coltsfoot_wire::peer::{CallReply, CallRequest, LevelNote, ReplyBody};
use coltsfootroute::{
    admission::ShedLevel,
    constants::MAX_BODY_BYTES,
    id::NodeId,
    name::ServiceName,
    outcome::{CallOutcome, RefusalReason},
    retry::{FailedAttempt, RetryDecision},
    routing::RouteResult,
};
use tokio::time::{sleep, timeout_at};

use super::{
    attempt_tracker::AttemptTracker,
    call_ingress::CallIngress,
    pool_watch::FIRST_MEMBERS_WAIT,
    route_progress::{RouteProgress, RouteSummary},
    routed_call::RoutedCall,
};
use crate::dispatch::{
    context::CallContent,
    links::{HeldCall, LinkError},
};

/// Maximum number of guards that may refuse a call before it reaches their upstream without the next attempt
/// counting as a retry.
const MAX_REROUTES: usize = 2;

impl CallIngress {
    /// Sends a call to upstreams of its service until one answers, no further retry is allowed or the deadline
    /// passes. The outcome covers all attempts together.
    pub async fn route(self: &Rc<Self>, call: &RoutedCall) -> RouteSummary {
        let mut progress = RouteProgress::default();
        if let Some(reply) = self.refuse_quarantined(call) {
            return progress.finish(reply);
        }
        self.await_first_members(call).await;
        loop {
            let tried_before = progress.tried.len();
            let reply = self.attempt(call, &mut progress).await;
            let was_sent = progress.tried.len() > tried_before;
            self.observe_levels(&reply.levels);
            self.observe_reached(call, &reply.levels);
            if let Some(cause) = progress.record_reached(&reply) {
                self.context.metrics.retries.repeated(cause);
            }
            if was_sent {
                progress.record_absent(&reply);
            }
            if reply.outcome == CallOutcome::Completed {
                return progress.finish(reply);
            }
            if reply.reason() == Some(RefusalReason::RetryBudget) {
                if was_sent && progress.reroutes < MAX_REROUTES {
                    progress.record_denied();
                    continue;
                }
                self.record_throttled(call);
                return progress.finish_failed(reply);
            }
            if was_sent && progress.reroutes < MAX_REROUTES && can_reroute(call, &reply) {
                progress.reroutes += 1;
                continue;
            }
            if !self.retry_after_failure(call, &reply, &progress).await {
                return progress.finish_failed(reply);
            }
            progress.keep_failure(reply);
        }
    }

    /// Returns the refusal of a quarantined call, one that crashes its upstreams; `None` for any other call. The guards
    /// that know of the quarantine refuse it too; refusing it here saves sending it.
    fn refuse_quarantined(&self, call: &RoutedCall) -> Option<CallReply> {
        let content = CallContent {
            service: &call.service,
            operation: &call.operation,
            team: call.team.as_ref(),
            head: call.head.as_ref(),
            body: &call.body,
        };
        match self.quarantine.judge(call.request, || content.fingerprint())? {
            HeldCall::Held(wait) => {
                Some(CallReply::refusal(RefusalReason::Quarantined, CallOutcome::NotRun, wait))
            }
            // The guard requests the trial.
            HeldCall::TrialDue(_) => None,
        }
    }

    /// Waits for the first members of a service, up to [`FIRST_MEMBERS_WAIT`] after the node began to watch it.
    async fn await_first_members(&self, call: &RoutedCall) {
        let watched_since = self.watch(&call.service).await;
        let until = call.deadline.min(watched_since + FIRST_MEMBERS_WAIT);
        let until = self.context.clock.instant_at(until).into();
        loop {
            let changed = self.members_changed.notified();
            let is_empty = self.with_pool(&call.service, |pool| pool.is_empty()).unwrap_or(false);
            if !is_empty || timeout_at(until, changed).await.is_err() {
                return;
            }
        }
    }

    async fn attempt(
        self: &Rc<Self>,
        call: &RoutedCall,
        progress: &mut RouteProgress,
    ) -> CallReply {
        let Some(node) = self.choose_upstream(call, progress) else {
            return self.refuse_without_upstream(&call.service);
        };
        if progress.denied.contains(&node) {
            return self.guard.refusal(RefusalReason::RetryBudget, CallOutcome::NotRun);
        }
        progress.tried.push(node);
        let mut tracker = AttemptTracker::start(self, call, node, progress.tried.len());
        let until = self.context.clock.instant_at(call.deadline).into();
        let is_sent = Cell::new(false);
        let sending = self.send(node, call, progress.is_retry(), &is_sent);
        let reply = match timeout_at(until, sending).await {
            Ok(reply) => reply,
            // Without a connection, the call has not been sent, so its outcome is certain.
            Err(_) if !is_sent.get() => {
                self.guard.refusal(RefusalReason::Deadline, CallOutcome::NotRun)
            }
            Err(_) => self.guard.refusal(RefusalReason::Deadline, CallOutcome::Unknown),
        };
        self.observe_notice(call, node, &reply);
        tracker.result = route_result(&reply);
        tracker.outcome = reply.outcome;
        tracker.occupancy = reply.occupancy;
        reply
    }

    /// Refuses a call for lack of an upstream. If the service has none at all, the reply reports the maximum shed level
    /// for it: requests that would reach it are then refused at entry, with a retry time, before any work is wasted.
    fn refuse_without_upstream(&self, service: &ServiceName) -> CallReply {
        let mut reply = self.guard.refusal(RefusalReason::NoUpstream, CallOutcome::NotRun);
        if self.has_no_upstream(service) {
            let (service, guard) = (service.clone(), self.context.identity.node);
            let (level, rate_level) = (ShedLevel::MAX, ShedLevel::OPEN);
            reply.levels.push(LevelNote { service, guard, level, rate_level });
        }
        reply
    }

    /// Chooses an upstream that has not been tried. If all have been tried, or if as many have been reached as the
    /// operation allows, chooses one of those.
    fn choose_upstream(&self, call: &RoutedCall, progress: &RouteProgress) -> Option<NodeId> {
        let now = self.context.now();
        let tried = &progress.tried;
        if progress.has_reached_max(call.most_attempts) {
            return self
                .with_pool(&call.service, |pool| pool.choose_among(now, &progress.reached))
                .flatten();
        }
        let time_left = call.deadline.since(now);
        let passed_over = self.passed_over(call);
        let mut rng = self.context.rng.borrow_mut();
        let root = self.root.borrow();
        let admitted = |guard| match self.context.control.is_on() {
            true if passed_over.contains(&guard) => 0.0,
            true => root
                .levels()
                .guard_level(now, &call.service, guard)
                .admitted_fraction(call.importance),
            false => 1.0,
        };
        self.with_pool(&call.service, |pool| {
            let passed_before = pool.passed_full();
            let fresh = pool.choose_admitted(now, &mut *rng, tried, time_left, admitted);
            let absent = &progress.absent;
            let any =
                fresh.or_else(|| pool.choose_admitted(now, &mut *rng, absent, time_left, admitted));
            let chosen = match call.head {
                Some(_) => any.or_else(|| pool.choose_departing(now, tried)),
                None => any,
            };
            if pool.passed_full() > passed_before {
                self.context.metrics.requests.full_passed();
            }
            chosen
        })
        .flatten()
    }

    /// Sends a call to the guard at `node`, and sets `is_sent` as soon as the call may have reached it.
    async fn send(
        self: &Rc<Self>,
        node: NodeId,
        call: &RoutedCall,
        is_retry: bool,
        is_sent: &Cell<bool>,
    ) -> CallReply {
        if node == self.context.identity.node {
            is_sent.set(true);
            // Boxed to keep the future small: most calls go to other nodes.
            return Box::pin(self.guard.guard_call(self.request_of(node, call, is_retry))).await;
        }
        match self.send_remote(node, call, is_retry, is_sent).await {
            Ok(reply) => {
                self.context.observe(reply.stamp);
                self.report_contact(&call.service, true).await;
                reply
            }
            Err(err) => {
                self.report_contact(&call.service, false).await;
                match err {
                    LinkError::Unreachable => {
                        self.guard.refusal(RefusalReason::NoUpstream, CallOutcome::NotRun)
                    }
                    LinkError::Ended => {
                        self.guard.refusal(RefusalReason::UpstreamFailed, CallOutcome::Unknown)
                    }
                }
            }
        }
    }

    async fn send_remote(
        &self,
        node: NodeId,
        call: &RoutedCall,
        is_retry: bool,
        is_sent: &Cell<bool>,
    ) -> Result<CallReply, LinkError> {
        // Built after the link is open, so that the remaining time is the one at sending.
        let request = || self.request_of(node, call, is_retry);
        if call.body.len() > MAX_BODY_BYTES {
            // Boxed to keep the future small: most calls have small bodies.
            return Box::pin(self.links.call_large(node, request, is_sent)).await;
        }
        let link = self.links.call_link(node).await?;
        is_sent.set(true);
        link.call(&request()).await
    }

    fn request_of(&self, node: NodeId, call: &RoutedCall, is_retry: bool) -> CallRequest {
        let (now, revision) = (self.context.now(), self.context.revision());
        let request = call.to_request(now, is_retry, revision, self.context.events.stamp());
        let scheduling = self.context.scheduling;
        CallRequest {
            known: self.notice_of(node),
            age: if scheduling.request_age { now.since(call.entered) } else { Duration::ZERO },
            wants_load: scheduling.load_reports,
            ..request
        }
    }

    /// Returns whether to retry the call, after acquiring a retry token and waiting for the backoff.
    async fn retry_after_failure(
        &self,
        call: &RoutedCall,
        reply: &CallReply,
        progress: &RouteProgress,
    ) -> bool {
        let now = self.context.now();
        let failed = FailedAttempt {
            outcome: reply.outcome,
            reason: reply.reason(),
            repeatable: call.repeatable,
            failed_below: reply.failed_below,
            deadline: call.deadline,
            attempts: progress.attempts(),
            rejections: progress.rejections,
            max_attempts: call.most_attempts,
            shedding: self.is_shed(&call.service, call.importance),
            expected: self.times.borrow_mut().needed(now, &call.service, &call.operation),
        };
        let decision = self.policy.decide(now, &mut *self.context.rng.borrow_mut(), &failed);
        let backoff = match decision {
            RetryDecision::Retry { backoff } => backoff,
            RetryDecision::GiveUp(cause) => {
                self.record_give_up(call, cause);
                return false;
            }
        };
        if !self.acquire_token(call).await {
            return false;
        }
        sleep(backoff).await;
        true
    }
}

/// Whether the guard refused the call before it reached the upstream, for a reason that may not apply to another
/// guard. Since nothing was forwarded, a reroute does not multiply calls further down and needs no retry token. For
/// calls in the product's own form only a planned stop and the limit that an upstream names qualify: there a guard's
/// refusal for overload is final for the call's importance, and is returned to the caller immediately.
fn can_reroute(call: &RoutedCall, reply: &CallReply) -> bool {
    if reply.reached_upstream || reply.outcome != CallOutcome::NotRun {
        return false;
    }
    match reply.reason() {
        Some(RefusalReason::Leaving | RefusalReason::UpstreamLimit) => true,
        Some(RefusalReason::Overload | RefusalReason::NoUpstream) => call.head.is_some(),
        _ => false,
    }
}

fn route_result(reply: &CallReply) -> RouteResult {
    match (&reply.body, reply.outcome) {
        (ReplyBody::Answer { .. }, CallOutcome::Completed) => RouteResult::Succeeded,
        // The upstream itself was healthy; a service that it called failed.
        _ if reply.failed_below => RouteResult::FailedBelow,
        (ReplyBody::Answer { .. }, _) => RouteResult::Failed,
        (ReplyBody::Refusal { reason: RefusalReason::Leaving, .. }, _) => RouteResult::Leaving,
        (ReplyBody::Refusal { reason: RefusalReason::NoUpstream, .. }, _) => {
            RouteResult::Unreachable
        }
        // These refusals say nothing about the health of the upstream.
        (
            ReplyBody::Refusal {
                reason: RefusalReason::RetryBudget | RefusalReason::Quarantined,
                ..
            },
            _,
        ) => RouteResult::Cancelled,
        (ReplyBody::Refusal { .. }, CallOutcome::NotRun) => RouteResult::Refused,
        (ReplyBody::Refusal { .. }, _) => RouteResult::Failed,
    }
}
