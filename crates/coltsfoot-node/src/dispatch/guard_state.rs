//! State of the guard: the upstream beside the node, its gate, and the calls that wait at it.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
};

use coltsfootroute::{
    admission::{
        AdmissionDecision, AdmissionGate, AdmissionSettings, AdmissionVerdict, AimdLimit,
        BreachCounter, ShedLevel, ShedPolicy,
    },
    membership::InstanceLedger,
    time::MonotonicTime,
};
use indexmap::IndexMap;
use tokio::{
    sync::{Notify, oneshot},
    time::sleep_until,
};

use super::{dispatcher::Dispatcher, local_upstream::UpstreamAnnouncement};

/// An upstream whose slots are announced and that rejects with half of them free has a fault, not a lack of
/// room.
const TRUSTED_SHARE: f64 = 0.5;

/// Slots of each hundred that stay free: upstreams are known to slow down when they are nearly full, from 95 in
/// use on, by a third, which costs more than the slots bring.
const FREE_PERCENT: u32 = 6;

/// The upstream beside the node, as announced.
pub struct GuardedUpstream {
    /// What it said of itself last.
    pub announcement: UpstreamAnnouncement,
    /// When it said so.
    pub heard: MonotonicTime,
    /// Whether it leaves, or its node does: no new work.
    pub leaving: bool,
    /// Whether it has said itself that it leaves, or fallen silent: also work taken in before that is
    /// not dispatched any more. A leave of the node alone lets such work run.
    pub has_withdrawn: bool,
}

/// Admission in front of the upstream beside the node.
#[derive(Default)]
pub struct GuardState {
    pub(super) upstream: RefCell<Option<GuardedUpstream>>,
    /// Lives of the upstream, where it names them.
    pub(super) instances: RefCell<InstanceLedger>,
    pub(super) gate: RefCell<Option<AdmissionGate>>,
    /// Calls offered to the gate that have no verdict yet.
    pub(super) waiting: RefCell<IndexMap<u64, oneshot::Sender<AdmissionDecision>>>,
    pub(super) breaches: RefCell<BreachCounter>,
    /// Limit of the gate that was reported last, 0 before the first.
    pub(super) reported_limit: Cell<u32>,
    /// Woken when the gate's next wake-up may have changed.
    pub(super) queue_changed: Notify,
}

impl GuardState {
    /// Hands verdicts to the calls that wait for them.
    pub(super) fn deliver(&self, verdicts: Vec<AdmissionVerdict>) {
        for verdict in verdicts {
            let waiter = self.waiting.borrow_mut().swap_remove(&verdict.id);
            if let Some(waiter) = waiter {
                // A caller that is gone has withdrawn its call from the gate, or is about to.
                let _ = waiter.send(verdict.decision);
            }
        }
    }

    /// Level of the gate; open while there is none.
    pub(super) fn level(&self, now: MonotonicTime) -> ShedLevel {
        self.gate.borrow().as_ref().map_or(ShedLevel::OPEN, |gate| gate.shed_level(now))
    }

    /// Lets the gate act, and hands out what it decides.
    pub(super) fn with_gate(&self, act: impl FnOnce(&mut AdmissionGate) -> Vec<AdmissionVerdict>) {
        let verdicts = self.gate.borrow_mut().as_mut().map(act).unwrap_or_default();
        self.deliver(verdicts);
    }
}

impl Dispatcher {
    /// Creates the gate, or adapts it to what the upstream says of itself.
    pub(super) fn fit_gate(&self, slots: u32) {
        let now = self.clock.now();
        let fresh = self.guard.gate.borrow().is_none();
        if fresh {
            let settings = AdmissionSettings::new(slots);
            let queue = settings.queue_length.min(self.queue);
            let settings = settings.with_queue_length(queue).with_shed_policy(self.shed_policy);
            let (settings, limit) = match self.shed_policy {
                ShedPolicy::Refusals => (settings, AimdLimit::new(slots)),
                ShedPolicy::Demand => (
                    settings.with_free_percent(FREE_PERCENT),
                    AimdLimit::new(slots).with_trusted_share(TRUSTED_SHARE),
                ),
            };
            let gate = AdmissionGate::with_limit(settings, limit);
            *self.guard.gate.borrow_mut() = Some(gate);
        } else {
            self.guard.with_gate(|gate| gate.set_slots(now, slots));
        }
    }

    /// Wakes the gate when a queued call expires.
    pub(super) async fn tick_gate(self: Rc<Self>) {
        loop {
            let wakeup = self.guard.gate.borrow().as_ref().and_then(AdmissionGate::next_wakeup);
            match wakeup {
                Some(at) => tokio::select! {
                    () = sleep_until(self.clock.instant_at(at).into()) => {
                        let now = self.clock.now();
                        self.guard.with_gate(|gate| gate.tick(now));
                    }
                    () = self.guard.queue_changed.notified() => {}
                },
                None => self.guard.queue_changed.notified().await,
            }
        }
    }
}
