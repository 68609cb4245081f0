//! State of the guard: the upstream beside the node, its gate, and the calls that wait at it.

use std::cell::{Cell, RefCell};

use coltsfootroute::{
    admission::{AdmissionDecision, AdmissionGate, AdmissionVerdict, BreachCounter, ShedLevel},
    membership::{HeartbeatWatch, InstanceTracker},
    time::MonotonicTime,
};
use indexmap::IndexMap;
use tokio::sync::{Notify, oneshot};

use crate::dispatch::links::UpstreamAnnouncement;

/// The upstream beside the node, as announced.
pub struct GuardedUpstream {
    /// What it said of itself last.
    pub announcement: UpstreamAnnouncement,
    /// Whether it has fallen silent.
    pub heartbeats: HeartbeatWatch,
    /// Whether it leaves, or its node does: no new work.
    pub leaving: bool,
    /// Whether it has said itself that it leaves, or fallen silent: also work taken in before that is
    /// not dispatched any more. A leave of the node alone lets such work run.
    pub has_withdrawn: bool,
}

/// Admission in front of the upstream beside the node.
#[derive(Default)]
pub struct GuardState {
    pub(in crate::dispatch) upstream: RefCell<Option<GuardedUpstream>>,
    /// Lives of the upstream, where it names them.
    pub(in crate::dispatch) instances: RefCell<InstanceTracker>,
    pub(in crate::dispatch) gate: RefCell<Option<AdmissionGate>>,
    /// Calls offered to the gate that have no verdict yet.
    pub(in crate::dispatch) waiting: RefCell<IndexMap<u64, oneshot::Sender<AdmissionDecision>>>,
    pub(in crate::dispatch) breaches: RefCell<BreachCounter>,
    /// Limit of the gate that was reported last, 0 before the first.
    pub(in crate::dispatch) reported_limit: Cell<u32>,
    /// Woken when the gate's next wake-up may have changed.
    pub(in crate::dispatch) queue_changed: Notify,
}

impl GuardState {
    /// Hands verdicts to the calls that wait for them.
    pub(in crate::dispatch) fn deliver(&self, verdicts: Vec<AdmissionVerdict>) {
        for verdict in verdicts {
            let waiter = self.waiting.borrow_mut().swap_remove(&verdict.id);
            if let Some(waiter) = waiter {
                // A caller that is gone has withdrawn its call from the gate, or is about to.
                let _ = waiter.send(verdict.decision);
            }
        }
    }

    /// Level of the gate; open while there is none.
    pub(in crate::dispatch) fn level(&self, now: MonotonicTime) -> ShedLevel {
        self.gate.borrow().as_ref().map_or(ShedLevel::OPEN, |gate| gate.shed_level(now))
    }

    /// Lets the gate act, and hands out what it decides.
    pub(in crate::dispatch) fn with_gate(
        &self,
        act: impl FnOnce(&mut AdmissionGate) -> Vec<AdmissionVerdict>,
    ) {
        let verdicts = self.gate.borrow_mut().as_mut().map(act).unwrap_or_default();
        self.deliver(verdicts);
    }
}
