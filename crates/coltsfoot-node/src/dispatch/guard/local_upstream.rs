//! Announcements, heartbeats, leave and silence of the upstream beside the node.

use std::rc::Rc;

use coltsfootroute::{
    event::EventKind,
    membership::{
        HeartbeatVerdict, HeartbeatWatch, InstanceIncarnation, InstanceName, UpstreamOffer,
    },
    name::ServiceName,
};
use http::StatusCode;

use super::{
    call_guard::CallGuard, guard_state::GuardedUpstream, upstream_heartbeat::UpstreamHeartbeat,
    upstream_receipt::UpstreamReceipt,
};
use crate::{
    dispatch::links::{UpstreamAnnouncement, UpstreamState},
    gossip::GossipCommand,
    http::HttpReply,
};

impl CallGuard {
    /// Handles an announcement of the upstream, either its first or a heartbeat.
    pub async fn announce_upstream(
        self: &Rc<Self>,
        announcement: UpstreamAnnouncement,
    ) -> HttpReply {
        if announcement.slots == 0 || announcement.connections == 0 {
            let body = serde_json::json!({ "message": "`slots` and `connections` are at least 1" });
            return HttpReply::json(StatusCode::BAD_REQUEST, &body);
        }
        if self.drain.borrow().closes_connections() {
            let body = serde_json::json!({ "message": "the node is leaving" });
            return HttpReply::json(StatusCode::SERVICE_UNAVAILABLE, &body);
        }
        self.note_new_instance(announcement.incarnation().as_ref());
        if self.store_announcement(&announcement) {
            self.configure_gate(announcement.slots);
            self.context.events.emit(EventKind::UpstreamAnnounced {
                service: announcement.service.clone(),
                upstream: announcement.address,
                slots: announcement.slots,
                connections: announcement.connections,
            });
            let command = GossipCommand::Announce(UpstreamOffer {
                service: announcement.service.clone(),
                slots: announcement.slots,
                connections: announcement.connections,
            });
            self.context.send_gossip_command(command).await;
            self.introduction.set_upstream(&announcement);
            self.service_changed.notify_one();
        }
        HttpReply::json(StatusCode::OK, &serde_json::json!({ "revision": self.context.revision() }))
    }

    /// Handles a heartbeat that says that the upstream accepts no new work. Only its leave is announced to other nodes;
    /// an upstream that this node does not know yet is recorded first.
    async fn note_leaving(&self, announcement: UpstreamAnnouncement) {
        let is_known =
            self.state.upstream.borrow().as_ref().is_some_and(|known| {
                known.announcement.incarnation() == announcement.incarnation()
            });
        if !is_known {
            self.begin_incarnation();
            *self.state.upstream.borrow_mut() = Some(GuardedUpstream {
                announcement,
                heartbeats: HeartbeatWatch::new(self.context.now()),
                leaving: false,
                has_withdrawn: false,
            });
        }
        if let Some(upstream) = self.state.upstream.borrow_mut().as_mut() {
            upstream.heartbeats.note_heartbeat(self.context.now());
        }
        self.withdraw_upstream().await;
    }

    /// Stores the announcement; returns whether it differs from the previous one, or the upstream was leaving.
    fn store_announcement(&self, announcement: &UpstreamAnnouncement) -> bool {
        let mut upstream = self.state.upstream.borrow_mut();
        let same = upstream
            .as_ref()
            .is_some_and(|known| known.announcement == *announcement && !known.leaving);
        let continues = upstream.as_ref().is_some_and(|known| known.is_continued_by(announcement));
        if !continues {
            self.begin_incarnation();
        }
        *upstream = Some(GuardedUpstream {
            announcement: announcement.clone(),
            heartbeats: HeartbeatWatch::new(self.context.now()),
            leaving: false,
            has_withdrawn: false,
        });
        !same
    }

    /// Dispatches nothing more to the upstream.
    pub(super) fn mark_withdrawn(&self) {
        if let Some(upstream) = self.state.upstream.borrow_mut().as_mut() {
            upstream.has_withdrawn = true;
        }
    }

    /// Withdraws the upstream: nothing is dispatched to it any more, and its leave is announced.
    pub async fn withdraw_upstream(&self) -> HttpReply {
        self.mark_withdrawn();
        self.announce_leave().await;
        HttpReply::json(StatusCode::OK, &serde_json::json!({ "leaving": true }))
    }

    /// Stops accepting new work for the upstream, and announces its leave to the other nodes.
    pub async fn announce_leave(&self) {
        let left = self.mark_leaving();
        if let Some(left) = left {
            self.context.events.emit(left);
            if !self.is_resumable() {
                self.introduction.retract();
            }
            self.context.send_gossip_command(GossipCommand::Leave).await;
        }
    }

    /// Returns whether the next incarnation of this node should resume the upstream, because only the node stops.
    fn is_resumable(&self) -> bool {
        let upstream = self.state.upstream.borrow();
        self.upstream_client.checks_instance()
            && upstream.as_ref().is_some_and(|upstream| {
                !upstream.has_withdrawn && upstream.announcement.instance.is_some()
            })
    }

    fn mark_leaving(&self) -> Option<EventKind> {
        let mut upstream = self.state.upstream.borrow_mut();
        let upstream = upstream.as_mut().filter(|upstream| !upstream.leaving)?;
        upstream.leaving = true;
        Some(EventKind::UpstreamLeft {
            service: upstream.announcement.service.clone(),
            upstream: upstream.announcement.address,
        })
    }

    /// Handles a suspension of the host: restarts the time allowed for the next heartbeat, and wakes the gate for
    /// queued calls that have expired.
    pub fn note_suspension(&self) {
        let now = self.context.now();
        if let Some(upstream) = self.state.upstream.borrow_mut().as_mut() {
            upstream.heartbeats.note_suspension(now);
        }
        self.state.queue_changed.notify_one();
    }

    /// Withdraws the upstream if its heartbeats have stopped.
    pub async fn notice_silence(&self) {
        let now = self.context.now();
        let silent = self
            .state
            .upstream
            .borrow()
            .as_ref()
            .and_then(|known| known.heartbeats.is_silent(now).then_some(known.leaving));
        let Some(is_leaving) = silent else { return };
        self.state.instances.borrow_mut().note_silence();
        if !is_leaving {
            self.withdraw_upstream().await;
        }
    }

    /// Returns the service of the upstream that was announced last; `None` if there was none.
    pub fn service(&self) -> Option<ServiceName> {
        Some(self.state.upstream.borrow().as_ref()?.announcement.service.clone())
    }

    /// Handles a heartbeat of an upstream that names its instances. For a leaving one, returns once no new work reaches
    /// it.
    pub async fn handle_heartbeat(
        self: &Rc<Self>,
        heartbeat: UpstreamHeartbeat,
    ) -> UpstreamReceipt {
        if heartbeat.is_leaving {
            return self.handle_draining_heartbeat(heartbeat).await;
        }
        let UpstreamHeartbeat { announcement, instance, sequence, .. } = heartbeat;
        // A late one must not bring back what the life before this one has seen off.
        if !self.introduction.await_previous_row().await {
            return self.not_acknowledged(instance.name, false);
        }
        if self.record_heartbeat(&instance, sequence) == HeartbeatVerdict::Fresh {
            self.announce_upstream(announcement).await;
        }
        UpstreamReceipt::Acknowledged
    }

    async fn handle_draining_heartbeat(&self, heartbeat: UpstreamHeartbeat) -> UpstreamReceipt {
        let UpstreamHeartbeat { announcement, instance, sequence, .. } = heartbeat;
        match self.record_heartbeat(&instance, sequence) {
            HeartbeatVerdict::Fresh => self.note_leaving(announcement).await,
            // A stale message of an upstream that has served since changes nothing, and is not acknowledged.
            HeartbeatVerdict::Stale if !self.is_upstream_leaving() => {
                return self.not_acknowledged(instance.name, true);
            }
            HeartbeatVerdict::Stale => {}
            // It may only seem to be an earlier incarnation, and must not become current once the present one is silent.
            HeartbeatVerdict::Departed => self.leave_instance(instance.clone()).await,
        }
        self.persist_leave(instance).await
    }

    fn record_heartbeat(&self, instance: &InstanceIncarnation, sequence: u64) -> HeartbeatVerdict {
        self.note_successor(instance);
        let now = self.context.now();
        let verdict = self.state.instances.borrow_mut().note_heartbeat(instance, sequence, now);
        if verdict != HeartbeatVerdict::Fresh {
            let departed = verdict == HeartbeatVerdict::Departed;
            let instance = instance.name.clone();
            self.context.events.emit(EventKind::HeartbeatIgnored { instance, sequence, departed });
        }
        verdict
    }

    fn is_upstream_leaving(&self) -> bool {
        self.state.upstream.borrow().as_ref().is_some_and(|upstream| upstream.leaving)
    }

    /// Handles the leave of an instance: nothing is dispatched to it any more. Its heartbeats may contain the start time
    /// that its leave lacks.
    pub async fn handle_leave(&self, instance: InstanceIncarnation) -> UpstreamReceipt {
        let instance = self.state.instances.borrow().identify(&instance);
        self.leave_instance(instance.clone()).await;
        self.persist_leave(instance).await
    }

    /// Records a leave, and withdraws the upstream if it is the instance that leaves.
    async fn leave_instance(&self, instance: InstanceIncarnation) {
        let now = self.context.now();
        let is_current = self.state.instances.borrow_mut().leave(&instance, now);
        if is_current {
            drop(self.withdraw_upstream().await);
            return;
        }
        let current = self.state.instances.borrow().current().cloned();
        if let Some(current) = current {
            self.context.events.emit(EventKind::LeaveIgnored {
                instance: instance.name,
                started: instance.started,
                current: current.name,
                current_started: current.started,
            });
        }
    }

    /// Acknowledges a leave once the node's row records it, since the row survives this node and all others. Until then
    /// the upstream receives no new work either, and repeats its request. Of an instance before the latest one the row
    /// has to record the latest instead: then no restart resumes the earlier one.
    async fn persist_leave(&self, instance: InstanceIncarnation) -> UpstreamReceipt {
        let name = instance.name.clone();
        let is_latest = self.state.instances.borrow().is_latest(&instance);
        let is_recorded = match is_latest {
            true => self.introduction.depart(instance).await,
            false => self.introduction.settle().await,
        };
        if is_recorded {
            return UpstreamReceipt::Acknowledged;
        }
        self.not_acknowledged(name, true)
    }

    fn not_acknowledged(&self, instance: InstanceName, is_leaving: bool) -> UpstreamReceipt {
        self.context.events.emit(EventKind::NotAcknowledged { instance, leaving: is_leaving });
        UpstreamReceipt::NotAcknowledged
    }

    /// Resumes the upstream that the previous incarnation of this node guarded, because its next heartbeat may be
    /// seconds away. Another instance at its address refuses calls that are not meant for it.
    pub async fn resume_upstream(self: Rc<Self>) {
        let Some(row) = self.introduction.read_previous_row().await else {
            return self.introduction.note_previous_row_read();
        };
        let is_outdated = self.introduction.check_outdated(&row);
        match row.state {
            // The upstream may have left since. If it has not, its next heartbeat tells, once none can be that late.
            UpstreamState::Serving(_) if is_outdated => {}
            UpstreamState::Serving(announcement) => self.resume_serving(announcement).await,
            UpstreamState::Departed { departed, born } => {
                self.leave_instance(InstanceIncarnation::new(departed).with_started(born)).await;
            }
        }
        if !is_outdated {
            self.introduction.note_previous_row_read();
        }
    }

    async fn resume_serving(self: &Rc<Self>, announcement: UpstreamAnnouncement) {
        let Some(instance) = announcement.incarnation() else { return };
        let is_first = self.state.instances.borrow_mut().restore(&instance);
        if is_first {
            self.announce_upstream(announcement).await;
        }
    }
}
