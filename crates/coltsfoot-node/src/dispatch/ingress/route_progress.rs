//! Progress of the attempts of one call.

use coltsfoot_wire::peer::{CallReply, ReplyBody};
use coltsfootroute::{
    id::NodeId,
    outcome::{CallOutcome, RefusalReason},
    retry::RepeatCause,
};

/// Progress of the attempts of one call.
#[derive(Default)]
pub(super) struct RouteProgress {
    /// Nodes tried, in order.
    pub(super) tried: Vec<NodeId>,
    /// Attempts that a guard refused and that don't count as retries; at most as many as were tried.
    pub(super) reroutes: usize,
    /// Whether some attempt may have run.
    may_have_run: bool,
    /// Attempts that an upstream has rejected.
    pub(super) rejections: u32,
    /// Nodes whose upstream an attempt has reached or may have reached, including those that rejected it.
    pub(super) reached: Vec<NodeId>,
    /// Result of the last attempt that reached an upstream or may have; the cause of the next attempt, if there is one.
    repeat_cause: Option<RepeatCause>,
    /// Nodes whose guard currently rejects retries.
    pub(super) denied: Vec<NodeId>,
    /// Nodes that have no upstream for the call, or are stopping: another attempt there would be refused again.
    pub(super) absent: Vec<NodeId>,
    /// Most informative failure: the last answer of an upstream, or else the last refusal.
    failure: Option<CallReply>,
}

impl RouteProgress {
    /// Records how far the last attempt got. Returns its cause if it repeated another attempt.
    pub(super) fn record_reached(&mut self, reply: &CallReply) -> Option<RepeatCause> {
        let may_have_run = reply.outcome == CallOutcome::Unknown;
        self.may_have_run |= may_have_run;
        self.rejections +=
            u32::from(reply.reached_upstream && reply.outcome == CallOutcome::NotRun);
        let node = self.tried.last().filter(|_| reply.reached_upstream || may_have_run)?;
        if !self.reached.contains(node) {
            self.reached.push(*node);
        }
        self.repeat_cause.replace(repeat_cause(reply))
    }

    /// Records that the guard tried last has no upstream for the call, if `reply` says so.
    pub(super) fn record_absent(&mut self, reply: &CallReply) {
        if is_absent(reply) {
            self.absent.extend(self.tried.last());
        }
    }

    /// Records that the guard tried last currently rejects retries. Another may admit them: upstreams that fail send
    /// their retries to other guards, whose own calls have earned less retry allowance.
    pub(super) fn record_denied(&mut self) {
        self.denied.extend(self.tried.last());
        self.reroutes += 1;
    }

    /// Whether an attempt has reached an upstream or may have, so that the next one is a retry for its service.
    pub(super) fn is_retry(&self) -> bool {
        !self.reached.is_empty()
    }

    /// Returns the number of attempts that were not rerouted.
    pub(super) fn attempts(&self) -> u32 {
        u32::try_from(self.tried.len() - self.reroutes).unwrap_or(u32::MAX)
    }

    /// Whether as many upstreams have been reached as the operation allows.
    pub(super) fn has_reached_max(&self, most_attempts: Option<u32>) -> bool {
        let reached = u32::try_from(self.reached.len()).unwrap_or(u32::MAX);
        most_attempts.is_some_and(|most| reached >= most)
    }

    /// Keeps the reply to a failed attempt while another is made; a refusal does not replace an upstream's answer.
    pub(super) fn keep_failure(&mut self, reply: CallReply) {
        let has_answer = self.failure.as_ref().is_some_and(is_answer);
        if is_answer(&reply) || !has_answer {
            self.failure = Some(reply);
        }
    }

    /// Summarizes a call whose last attempt failed. An upstream's own answer is more useful to the caller than the
    /// refusal of a later attempt, and any failure is more useful than the denial of a retry.
    pub(super) fn finish_failed(mut self, last: CallReply) -> RouteSummary {
        let is_denied = last.reason() == Some(RefusalReason::RetryBudget);
        let kept =
            self.failure.take().filter(|kept| is_denied || (!is_answer(&last) && is_answer(kept)));
        let mut reply = match kept {
            Some(kept) => CallReply { levels: last.levels, ..kept },
            None => last,
        };
        if self.may_have_run {
            reply.outcome = CallOutcome::Unknown;
        }
        self.finish(reply)
    }

    pub(super) fn finish(&self, reply: CallReply) -> RouteSummary {
        RouteSummary { reply, attempts: u32::try_from(self.tried.len()).unwrap_or(u32::MAX) }
    }
}

/// Whether the guard refused the call, without sending it, for lack of an upstream or because it is leaving.
fn is_absent(reply: &CallReply) -> bool {
    let is_unsent = !reply.reached_upstream && reply.outcome == CallOutcome::NotRun;
    is_unsent && matches!(reply.reason(), Some(RefusalReason::NoUpstream | RefusalReason::Leaving))
}

fn repeat_cause(reply: &CallReply) -> RepeatCause {
    if is_answer(reply) {
        RepeatCause::Failed
    } else if !reply.reached_upstream {
        RepeatCause::Unanswered
    } else if reply.outcome == CallOutcome::NotRun {
        RepeatCause::Rejected
    } else {
        RepeatCause::Broken
    }
}

fn is_answer(reply: &CallReply) -> bool {
    matches!(reply.body, ReplyBody::Answer { .. })
}

/// Final reply to a call and number of its attempts.
pub struct RouteSummary {
    /// Reply to the caller, with an outcome that covers all attempts.
    pub reply: CallReply,
    /// Number of attempts made, including rerouted ones.
    pub attempts: u32,
}
