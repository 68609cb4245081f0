//! Creation, timers and gauges of the admission gate in front of the upstream.

use std::rc::Rc;

use coltsfootroute::{
    admission::{AdmissionGate, AdmissionSettings, AimdLimit, LaneOrder, ShedPolicy},
    event::EventKind,
};
use tokio::time::sleep_until;

use super::call_guard::CallGuard;

/// Smallest share of the slots that must be in use for a rejection to lower the limit: an upstream that announces its
/// slots and rejects calls while half of them are free has a fault and not a lack of capacity.
const MIN_DECREASE_SHARE: f64 = 0.5;

/// Percentage of the slots that stays free: upstreams are known to slow down by a third from 95% use on, which costs
/// more throughput than the slots add.
const FREE_SLOT_PERCENT: u32 = 6;

impl CallGuard {
    /// Creates the gate, or adapts it to the number of slots that the upstream announces.
    pub(super) fn configure_gate(&self, slots: u32) {
        let now = self.context.now();
        let fresh = self.state.gate.borrow().is_none();
        if fresh {
            let settings = AdmissionSettings::new(slots);
            let queue = settings.queue_length.min(self.queue);
            let lane_order = match self.context.scheduling.request_age {
                true => LaneOrder::RequestAge,
                false => LaneOrder::ClientTurns,
            };
            let settings = settings
                .with_queue_length(queue)
                .with_lane_order(lane_order)
                .with_shed_policy(self.shed_policy);
            let (settings, limit) = match self.shed_policy {
                ShedPolicy::Refusals => (settings, AimdLimit::new(slots)),
                ShedPolicy::Demand => (
                    settings.with_free_percent(FREE_SLOT_PERCENT),
                    AimdLimit::new(slots).with_min_decrease_share(MIN_DECREASE_SHARE),
                ),
            };
            let gate = AdmissionGate::with_limit(settings, limit);
            *self.state.gate.borrow_mut() = Some(gate);
        } else {
            self.state.with_gate(|gate| gate.set_slots(now, slots));
        }
    }

    /// Runs the timer of the gate, which expires queued calls.
    pub async fn tick_gate(self: Rc<Self>) {
        loop {
            let wakeup = self.state.gate.borrow().as_ref().and_then(AdmissionGate::next_wakeup);
            match wakeup {
                Some(at) => tokio::select! {
                    () = sleep_until(self.context.clock.instant_at(at).into()) => {
                        let now = self.context.now();
                        self.state.with_gate(|gate| gate.tick(now));
                    }
                    () = self.state.queue_changed.notified() => {}
                },
                None => self.state.queue_changed.notified().await,
            }
        }
    }

    /// Updates the gauges of the gate's load and limit.
    pub fn report_gauges(&self) {
        let gate = self.state.gate.borrow();
        let Some(gate) = gate.as_ref() else { return };
        self.context.metrics.requests.set_load(gate.in_flight() as usize, gate.queued() as usize);
        self.context.metrics.requests.set_limit(gate.limit() as usize);
        self.report_limit(gate.limit());
    }

    /// Reports a changed limit. Runs with the gauges and not on each change, since the limit may change with each call.
    fn report_limit(&self, limit: u32) {
        let previous = self.state.reported_limit.replace(limit);
        if previous == limit || previous == 0 {
            return;
        }
        let upstream = self.state.upstream.borrow();
        let Some(upstream) = upstream.as_ref() else { return };
        let service = upstream.announcement.service.clone();
        self.context.events.emit(EventKind::LimitChanged { service, previous, limit });
    }
}
