//! State of the guard: the upstream beside the node, its gate, and the calls that wait for admission.

use std::cell::{Cell, RefCell};

use coltsfootroute::{
    admission::{AdmissionDecision, AdmissionGate, AdmissionVerdict, BreachCounter, ShedLevel},
    membership::{HeartbeatWatch, InstanceTracker},
    routing::UpstreamOccupancy,
    time::MonotonicTime,
    upstream_limit::LimitTracker,
};
use indexmap::IndexMap;
use tokio::sync::{Notify, oneshot};

use crate::dispatch::links::UpstreamAnnouncement;

/// The upstream beside the node, as announced.
pub struct GuardedUpstream {
    /// Latest announcement of the upstream.
    pub announcement: UpstreamAnnouncement,
    /// Detector of missing heartbeats.
    pub heartbeats: HeartbeatWatch,
    /// Whether the upstream or its node is leaving: no new work is accepted.
    pub leaving: bool,
    /// Whether the upstream has announced its leave itself, or its heartbeats have stopped: work accepted before is not
    /// dispatched any more either. If only the node leaves, such work still runs.
    pub has_withdrawn: bool,
}

impl GuardedUpstream {
    /// Returns whether `announcement` is one of the same incarnation. An upstream without a name counts as another one
    /// at another address, or after a leave.
    pub fn is_continued_by(&self, announcement: &UpstreamAnnouncement) -> bool {
        let known = &self.announcement;
        match (known.incarnation(), announcement.incarnation()) {
            (None, None) => !self.leaving && known.address == announcement.address,
            (known, announced) => known == announced,
        }
    }
}

/// Admission in front of the upstream beside the node.
#[derive(Default)]
pub struct GuardState {
    pub(in crate::dispatch) upstream: RefCell<Option<GuardedUpstream>>,
    /// Instances of the upstream, if it names them.
    pub(in crate::dispatch) instances: RefCell<InstanceTracker>,
    pub(in crate::dispatch) gate: RefCell<Option<AdmissionGate>>,
    /// Calls offered to the gate that have no verdict yet.
    pub(in crate::dispatch) waiting: RefCell<IndexMap<u64, oneshot::Sender<AdmissionDecision>>>,
    pub(in crate::dispatch) breaches: RefCell<BreachCounter>,
    /// Limit of the gate that was reported last; 0 before the first report.
    pub(in crate::dispatch) reported_limit: Cell<u32>,
    /// Number of the upstream's incarnation, from 1; 0 before the first announcement.
    pub(in crate::dispatch) incarnation_number: Cell<u64>,
    /// Limit that this incarnation names in its answers.
    pub(in crate::dispatch) limit: RefCell<LimitTracker>,
    /// Limit that is no rate and was reported last.
    pub(in crate::dispatch) unreadable_limit: RefCell<Option<String>>,
    /// Number of the latest incarnation that has said in an answer that it is leaving.
    pub(in crate::dispatch) left_by_answer: Cell<Option<u64>>,
    /// Notified when the gate's next wake-up time may have changed.
    pub(in crate::dispatch) queue_changed: Notify,
}

impl GuardState {
    /// Delivers verdicts to the calls that wait for them.
    pub(in crate::dispatch) fn deliver(&self, verdicts: Vec<AdmissionVerdict>) {
        for verdict in verdicts {
            let waiter = self.waiting.borrow_mut().swap_remove(&verdict.id);
            if let Some(waiter) = waiter {
                // If the receiver is gone, its permit withdraws the call from the gate.
                let _ = waiter.send(verdict.decision);
            }
        }
    }

    /// Returns the shed level of the gate; [`ShedLevel::OPEN`] without a gate.
    pub(in crate::dispatch) fn level(&self, now: MonotonicTime) -> ShedLevel {
        self.gate.borrow().as_ref().map_or(ShedLevel::OPEN, |gate| gate.shed_level(now))
    }

    /// Returns the shed level that follows from the rate that the upstream names; [`ShedLevel::OPEN`] without a gate.
    pub(in crate::dispatch) fn rate_level(&self) -> ShedLevel {
        self.gate.borrow().as_ref().map_or(ShedLevel::OPEN, AdmissionGate::rate_level)
    }

    /// Returns how full the gate is; `None` without a gate.
    pub(in crate::dispatch) fn occupancy(&self) -> Option<UpstreamOccupancy> {
        let gate = self.gate.borrow();
        let gate = gate.as_ref()?;
        Some(UpstreamOccupancy::new(gate.in_flight(), gate.queued(), gate.limit()))
    }

    /// Applies `act` to the gate, if any, and delivers the resulting verdicts.
    pub(in crate::dispatch) fn with_gate(
        &self,
        act: impl FnOnce(&mut AdmissionGate) -> Vec<AdmissionVerdict>,
    ) {
        let verdicts = self.gate.borrow_mut().as_mut().map(act).unwrap_or_default();
        self.deliver(verdicts);
    }
}
