//! Counting of calls in flight, and the planned stop that waits for them.

use std::{rc::Rc, time::Duration};

use coltsfootroute::{
    drain::{DrainPhase, DrainReport, StartDecision},
    event::EventKind,
    time::MonotonicTime,
};
use tokio::{sync::oneshot, time::sleep};

use super::call_guard::CallGuard;
use crate::gossip::GossipCommand;

/// Interval at which a leaving node checks whether it is drained.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Time before the end of the grace time at which a node stops waiting for callers that still read, so that it ends by
/// itself.
const GRACE_MARGIN: Duration = Duration::from_millis(500);

/// Kind of a call, by which a leaving node decides whether to accept it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallKind {
    /// A client's request, to be routed from this node.
    Client,
    /// A call for the upstream beside the node.
    Guarded,
    /// A nested call of work in progress on the upstream beside the node.
    Nested,
}

/// A call that counts as in flight until it is dropped.
pub struct StartedCall {
    guard: Rc<CallGuard>,
}

impl Drop for StartedCall {
    fn drop(&mut self) {
        self.guard.drain.borrow_mut().finish();
    }
}

impl CallGuard {
    /// Counts a call as in flight; `None` if a leaving node no longer accepts its kind.
    pub fn start_call(self: &Rc<Self>, kind: CallKind) -> Option<StartedCall> {
        let mut drain = self.drain.borrow_mut();
        let decision = match kind {
            CallKind::Client => drain.try_start_client(self.context.now()),
            CallKind::Guarded => drain.try_start(),
            CallKind::Nested => drain.try_start_nested(),
        };
        (decision == StartDecision::Started).then(|| StartedCall { guard: self.clone() })
    }

    /// Returns whether a planned stop has been requested.
    pub fn is_closing(&self) -> bool {
        self.is_closing.get()
    }

    /// Performs a planned stop: rejects new work, announces the leave, and signals `done` once nothing is in flight and
    /// every answer has been handed over.
    pub async fn leave(self: Rc<Self>, done: oneshot::Sender<()>) {
        let requested = self.context.now();
        let longest = self.grace_time.map(|time| requested + time.saturating_sub(GRACE_MARGIN));
        // The upstream stays in service while clients still send requests here: leaving earlier would only withdraw
        // its slots from all nodes.
        self.is_closing.set(true);
        if self.closing_time > Duration::ZERO {
            // After this, other nodes use this upstream only if no other upstream accepts a call.
            self.context.send_gossip_command(GossipCommand::Leave).await;
            sleep(self.closing_time).await;
        }
        let begun: MonotonicTime = self.context.now();
        self.drain.borrow_mut().begin(begun);
        let in_flight = u32::try_from(self.drain.borrow().in_flight()).unwrap_or(u32::MAX);
        let unsent = u32::try_from(self.answers.waiting()).unwrap_or(u32::MAX);
        self.context.events.emit(EventKind::DrainBegun { in_flight, unsent });
        self.announce_leave().await;
        let mut reported = begun;
        while !self.is_drained(longest) {
            sleep(DRAIN_POLL_INTERVAL).await;
            self.report_overdue(&mut reported);
        }
        self.introduction.confirm_leave().await;
        self.introduction.settle().await;
        let elapsed = self.context.now().since(begun).as_millis();
        let elapsed_ms = u64::try_from(elapsed).unwrap_or(u64::MAX);
        self.context.events.emit(EventKind::Drained { elapsed_ms });
        let _ = done.send(());
    }

    /// Returns whether a leaving node may stop: nothing is in flight, and every answer has been handed over. For callers
    /// that still read it waits until `longest` at most.
    fn is_drained(&self, longest: Option<MonotonicTime>) -> bool {
        let now = self.context.now();
        if self.drain.borrow().phase(now) != DrainPhase::Drained {
            return false;
        }
        // Requests that come from now on are refused.
        self.answers.seal();
        self.answers.waiting() == 0 || longest.is_some_and(|longest| longest <= now)
    }

    /// Reports, once in each period, the calls in flight and the unsent answers that delay a planned stop. No call is
    /// cancelled: that is left to whoever stops the process.
    fn report_overdue(&self, reported: &mut MonotonicTime) {
        let now = self.context.now();
        let report = self.drain.borrow().overdue(now, self.answers.waiting());
        let Some(DrainReport { in_flight, unsent, waited }) = report else {
            return;
        };
        if now.since(*reported) < self.drain_period {
            return;
        }
        *reported = now;
        self.context.events.emit(EventKind::DrainOverdue {
            in_flight: u32::try_from(in_flight).unwrap_or(u32::MAX),
            unsent: u32::try_from(unsent).unwrap_or(u32::MAX),
            waited_ms: u64::try_from(waited.as_millis()).unwrap_or(u64::MAX),
        });
    }
}
