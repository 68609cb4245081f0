//! The upstream beside the node: announcements, leave, silence.

use std::{net::SocketAddr, time::Duration};

use coltsfootroute::{
    event::EventKind,
    membership::{InstanceName, UpstreamOffer},
    name::ServiceName,
};
use http::StatusCode;

use super::{
    dispatcher::Dispatcher, guard_state::GuardedUpstream, introduction_desk::IntroducedUpstream,
};
use crate::{gossip::GossipCommand, http::HttpReply};

/// An upstream that has not repeated its announcement for so long is taken as gone.
const SILENCE_LIMIT: Duration = Duration::from_secs(5);

/// What the upstream beside the node says of itself in `PUT /upstream`.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct UpstreamAnnouncement {
    /// Service that the upstream is one of.
    pub service: ServiceName,
    /// Its life, if it names itself; calls then run on no other one.
    #[serde(default)]
    pub instance: Option<InstanceName>,
    /// Where it takes calls.
    pub address: SocketAddr,
    /// Calls it can work on at once; at least 1.
    pub slots: u32,
    /// Connections it takes; at least 1.
    pub connections: u32,
}

impl Dispatcher {
    /// Takes in an announcement, the first or a heartbeat.
    pub(super) async fn announce_upstream(&self, announcement: UpstreamAnnouncement) -> HttpReply {
        if announcement.slots == 0 || announcement.connections == 0 {
            let body = serde_json::json!({ "message": "`slots` and `connections` are at least 1" });
            return HttpReply::json(StatusCode::BAD_REQUEST, &body);
        }
        if self.drain.borrow().closes_connections() {
            let body = serde_json::json!({ "message": "the node is leaving" });
            return HttpReply::json(StatusCode::SERVICE_UNAVAILABLE, &body);
        }
        if self.take_in(&announcement) {
            self.fit_gate(announcement.slots);
            self.events.emit(EventKind::UpstreamAnnounced {
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
            // A closed ring means that the process stops.
            let _ = self.gossip.send(command).await;
            self.introduction.want(Some(IntroducedUpstream {
                service: announcement.service.clone(),
                instance: announcement.instance.clone(),
            }));
            self.watch_callees(&announcement.service).await;
        }
        HttpReply::json(StatusCode::OK, &serde_json::json!({ "revision": self.revision() }))
    }

    /// The upstream says that it takes no new work: only its leave is passed on, and a node that has not
    /// heard of it before learns who it is.
    pub(super) async fn note_leaving(&self, announcement: UpstreamAnnouncement) {
        let is_known = self
            .guard
            .upstream
            .borrow()
            .as_ref()
            .is_some_and(|known| known.announcement.instance == announcement.instance);
        if !is_known {
            *self.guard.upstream.borrow_mut() = Some(GuardedUpstream {
                announcement,
                heard: self.clock.now(),
                leaving: false,
                has_withdrawn: false,
            });
        }
        if let Some(upstream) = self.guard.upstream.borrow_mut().as_mut() {
            upstream.heard = self.clock.now();
        }
        self.withdraw_named().await;
    }

    /// The upstream leaves, and names its lives: its row tells of that first, up to a bound, or else a restart
    /// might take it up again.
    pub(super) async fn withdraw_named(&self) {
        self.withdraw_upstream().await;
        if let Some(instance) = self.upstream_instance() {
            self.introduction.depart(instance);
        }
        self.introduction.settle().await;
    }

    /// The life of the upstream beside the node that was heard of last, if it names itself.
    fn upstream_instance(&self) -> Option<InstanceName> {
        self.guard.upstream.borrow().as_ref()?.announcement.instance.clone()
    }

    /// Whether the announcement says anything new.
    fn take_in(&self, announcement: &UpstreamAnnouncement) -> bool {
        let heard = self.clock.now();
        let mut upstream = self.guard.upstream.borrow_mut();
        let same = upstream
            .as_ref()
            .is_some_and(|known| known.announcement == *announcement && !known.leaving);
        *upstream = Some(GuardedUpstream {
            announcement: announcement.clone(),
            heard,
            leaving: false,
            has_withdrawn: false,
        });
        !same
    }

    /// The upstream leaves: nothing is dispatched to it from now on.
    pub(super) async fn withdraw_upstream(&self) -> HttpReply {
        if let Some(upstream) = self.guard.upstream.borrow_mut().as_mut() {
            upstream.has_withdrawn = true;
        }
        self.announce_leave().await;
        HttpReply::json(StatusCode::OK, &serde_json::json!({ "leaving": true }))
    }

    /// Takes no new work for the upstream from now on, and tells everyone.
    pub(super) async fn announce_leave(&self) {
        let left = self.mark_leaving();
        if let Some(left) = left {
            self.events.emit(left);
            if !self.is_resumable() {
                self.introduction.want(None);
            }
            // A closed ring means that the process stops.
            let _ = self.gossip.send(GossipCommand::Leave).await;
        }
    }

    /// Whether the next life of this node shall take the upstream up again: it is the node that stops.
    fn is_resumable(&self) -> bool {
        let upstream = self.guard.upstream.borrow();
        self.upstream_client.checks_instance()
            && upstream.as_ref().is_some_and(|upstream| {
                !upstream.has_withdrawn && upstream.announcement.instance.is_some()
            })
    }

    fn mark_leaving(&self) -> Option<EventKind> {
        let mut upstream = self.guard.upstream.borrow_mut();
        let upstream = upstream.as_mut().filter(|upstream| !upstream.leaving)?;
        upstream.leaving = true;
        Some(EventKind::UpstreamLeft {
            service: upstream.announcement.service.clone(),
            upstream: upstream.announcement.address,
        })
    }

    /// Takes an upstream that has fallen silent as gone.
    pub(super) async fn notice_silence(&self) {
        let now = self.clock.now();
        let silent = self
            .guard
            .upstream
            .borrow()
            .as_ref()
            .is_some_and(|known| !known.leaving && now.since(known.heard) > SILENCE_LIMIT);
        if silent {
            self.withdraw_upstream().await;
        }
    }

    /// Watches what the upstream's operations call, so that members are known before the first call.
    async fn watch_callees(&self, service: &ServiceName) {
        let Some(config) = self.config.load() else { return };
        for callee in config.callees(service) {
            self.watch(&callee).await;
        }
    }
}
