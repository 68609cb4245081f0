//! The upstream beside the node: announcements, leave, silence.

use std::rc::Rc;

use coltsfootroute::{
    event::EventKind,
    membership::{
        HeartbeatVerdict, HeartbeatWatch, InstanceIncarnation, InstanceName, StartTime,
        UpstreamOffer,
    },
    name::ServiceName,
};
use http::StatusCode;

use super::{
    call_guard::CallGuard, guard_state::GuardedUpstream, upstream_heartbeat::UpstreamHeartbeat,
    upstream_receipt::UpstreamReceipt,
};
use crate::{
    clock::wall_millis,
    dispatch::links::{UpstreamAnnouncement, UpstreamRow},
    gossip::GossipCommand,
    http::HttpReply,
};

impl CallGuard {
    /// Takes in an announcement, the first or a heartbeat.
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
        self.note_next_life(announcement.instance.as_ref());
        if self.take_in(&announcement) {
            self.fit_gate(announcement.slots);
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
            self.context.tell_gossip(command).await;
            self.introduction.set_upstream(&announcement);
            self.service_changed.notify_one();
        }
        HttpReply::json(StatusCode::OK, &serde_json::json!({ "revision": self.context.revision() }))
    }

    /// The upstream says that it takes no new work: only its leave is passed on, and a node that has not
    /// heard of it before learns who it is.
    async fn note_leaving(&self, announcement: UpstreamAnnouncement) {
        let is_known =
            self.state.upstream.borrow().as_ref().is_some_and(|known| {
                known.announcement.incarnation() == announcement.incarnation()
            });
        if !is_known {
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

    /// Whether the announcement says anything new.
    fn take_in(&self, announcement: &UpstreamAnnouncement) -> bool {
        let mut upstream = self.state.upstream.borrow_mut();
        let same = upstream
            .as_ref()
            .is_some_and(|known| known.announcement == *announcement && !known.leaving);
        *upstream = Some(GuardedUpstream {
            announcement: announcement.clone(),
            heartbeats: HeartbeatWatch::new(self.context.now()),
            leaving: false,
            has_withdrawn: false,
        });
        !same
    }

    /// The upstream leaves: nothing is dispatched to it from now on.
    pub async fn withdraw_upstream(&self) -> HttpReply {
        if let Some(upstream) = self.state.upstream.borrow_mut().as_mut() {
            upstream.has_withdrawn = true;
        }
        self.announce_leave().await;
        HttpReply::json(StatusCode::OK, &serde_json::json!({ "leaving": true }))
    }

    /// Takes no new work for the upstream from now on, and tells everyone.
    pub async fn announce_leave(&self) {
        let left = self.mark_leaving();
        if let Some(left) = left {
            self.context.events.emit(left);
            if !self.is_resumable() {
                self.introduction.retract();
            }
            self.context.tell_gossip(GossipCommand::Leave).await;
        }
    }

    /// Whether the next life of this node shall take the upstream up again: it is the node that stops.
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

    /// The host was suspended: the upstream is given time to be heard again, and queued calls that have run out of theirs
    /// are looked at.
    pub fn note_suspension(&self) {
        let now = self.context.now();
        if let Some(upstream) = self.state.upstream.borrow_mut().as_mut() {
            upstream.heartbeats.note_suspension(now);
        }
        self.state.queue_changed.notify_one();
    }

    /// Takes an upstream that has fallen silent as gone.
    pub async fn notice_silence(&self) {
        let now = self.context.now();
        let silent = self
            .state
            .upstream
            .borrow()
            .as_ref()
            .is_some_and(|known| !known.leaving && known.heartbeats.is_silent(now));
        if silent {
            self.state.instances.borrow_mut().note_silence();
            self.withdraw_upstream().await;
        }
    }

    /// Service of the upstream beside the node that was heard of last.
    pub fn service(&self) -> Option<ServiceName> {
        Some(self.state.upstream.borrow().as_ref()?.announcement.service.clone())
    }

    /// Takes in a heartbeat of an upstream that names its lives. Returns once no new work reaches one that
    /// leaves.
    pub async fn hear(self: &Rc<Self>, heartbeat: UpstreamHeartbeat) -> UpstreamReceipt {
        if heartbeat.is_leaving {
            return self.hear_draining(heartbeat).await;
        }
        let UpstreamHeartbeat { announcement, instance, sequence, .. } = heartbeat;
        // A late one must not bring back what the life before this one has seen off.
        if !self.introduction.await_previous_row().await {
            return self.not_yet(instance.name, false);
        }
        if self.take_heartbeat(&instance, sequence) == HeartbeatVerdict::Fresh {
            self.announce_upstream(announcement).await;
        }
        UpstreamReceipt::Acknowledged
    }

    async fn hear_draining(&self, heartbeat: UpstreamHeartbeat) -> UpstreamReceipt {
        let UpstreamHeartbeat { announcement, instance, sequence, .. } = heartbeat;
        match self.take_heartbeat(&instance, sequence) {
            HeartbeatVerdict::Fresh => self.note_leaving(announcement).await,
            // An older word of an upstream that serves since changes nothing, and nothing is promised for it.
            HeartbeatVerdict::Stale if !self.is_upstream_leaving() => {
                return self.not_yet(instance.name, true);
            }
            HeartbeatVerdict::Stale | HeartbeatVerdict::Departed => {}
        }
        self.keep_leave(instance).await
    }

    fn take_heartbeat(&self, instance: &InstanceIncarnation, sequence: u64) -> HeartbeatVerdict {
        let verdict = self.state.instances.borrow_mut().note_heartbeat(instance, sequence);
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

    /// The instance has left, or is about to: nothing is dispatched to it from now on. A leave that does not say of which
    /// life it is speaks of all until now.
    pub async fn hear_leave(&self, instance: InstanceIncarnation) -> UpstreamReceipt {
        let until = instance.started.unwrap_or_else(|| StartTime(wall_millis()));
        let left = self.leave_instance(instance.clone().with_started(Some(until))).await;
        // The life that was heard may say when it began where its leave does not.
        self.keep_leave(left.unwrap_or(instance)).await
    }

    /// Takes in a leave; returns the present life if it is that one.
    async fn leave_instance(&self, instance: InstanceIncarnation) -> Option<InstanceIncarnation> {
        let present = self.state.instances.borrow().current().cloned();
        if !self.state.instances.borrow_mut().leave(&instance) {
            return None;
        }
        self.withdraw_upstream().await;
        present
    }

    /// Acknowledges a leave once the node's row tells of it, which outlasts this node and all others. Until then the upstream
    /// gets no new work either, and asks again. A life before the present one needs no row: no restart takes it up.
    async fn keep_leave(&self, instance: InstanceIncarnation) -> UpstreamReceipt {
        let present = self.state.instances.borrow().current().cloned();
        if present.is_some_and(|present| present != instance) {
            return UpstreamReceipt::Acknowledged;
        }
        let name = instance.name.clone();
        if self.introduction.depart(instance).await {
            return UpstreamReceipt::Acknowledged;
        }
        self.not_yet(name, true)
    }

    fn not_yet(&self, instance: InstanceName, is_leaving: bool) -> UpstreamReceipt {
        self.context.events.emit(EventKind::NotAcknowledged { instance, leaving: is_leaving });
        UpstreamReceipt::NotYet
    }

    /// Takes the upstream up again that the life before this one guarded: its next heartbeat may be seconds
    /// away. Another instance at its address refuses what is not meant for it.
    pub async fn resume_upstream(self: Rc<Self>) {
        match self.introduction.read_previous_row().await {
            Some(UpstreamRow::Serving(announcement)) => self.resume_serving(announcement).await,
            Some(UpstreamRow::Departed { departed, born }) => {
                self.leave_instance(InstanceIncarnation::new(departed).with_started(born)).await;
            }
            None => {}
        }
        self.introduction.note_previous_row_read();
    }

    async fn resume_serving(self: &Rc<Self>, announcement: UpstreamAnnouncement) {
        let Some(instance) = announcement.incarnation() else { return };
        let is_first = self.state.instances.borrow_mut().restore(&instance);
        if is_first {
            self.announce_upstream(announcement).await;
        }
    }
}
