//! The upstreams of a called service, and since when they are watched.

use std::sync::Arc;

use coltsfootroute::{
    membership::{MemberRecord, MemberState},
    name::ServiceName,
    routing::{RoutingSettings, UpstreamInfo, UpstreamPool},
    time::MonotonicTime,
};

use super::{dispatcher::Dispatcher, member_counts::MemberCounts};
use crate::gossip::GossipCommand;

/// The upstreams of a called service.
pub struct ServicePool {
    /// The upstreams.
    pub pool: UpstreamPool,
    /// Since when this node watches the service.
    pub watched_since: MonotonicTime,
    /// When the service was last called.
    pub called: MonotonicTime,
}

impl Dispatcher {
    /// Acts on the pool of `service`, if the node watches it.
    pub(super) fn with_pool<T>(
        &self,
        service: &ServiceName,
        act: impl FnOnce(&mut UpstreamPool) -> T,
    ) -> Option<T> {
        self.pools.borrow_mut().get_mut(service).map(|entry| act(&mut entry.pool))
    }

    /// Watches `service` from now on. Returns since when it has been watched.
    pub(super) async fn watch(&self, service: &ServiceName) -> MonotonicTime {
        let now = self.clock.now();
        if let Some(entry) = self.pools.borrow_mut().get_mut(service) {
            entry.called = now;
            return entry.watched_since;
        }
        let pool = UpstreamPool::new(
            self.identity.domain.clone(),
            self.identity.region.clone(),
            RoutingSettings::default(),
        );
        let entry = ServicePool { pool, watched_since: now, called: now };
        self.pools.borrow_mut().insert(service.clone(), entry);
        self.send_watches().await;
        now
    }

    async fn send_watches(&self) {
        let services = self.pools.borrow().keys().cloned().collect();
        // A closed ring means that the process stops.
        let _ = self.gossip.send(GossipCommand::Watch(services)).await;
    }

    /// Takes in the members of a watched service.
    pub(super) fn update_members(&self, service: &ServiceName, members: &Arc<[MemberRecord]>) {
        let now = self.clock.now();
        self.member_counts.borrow_mut().insert(service.clone(), MemberCounts::of(members));
        let infos = members.iter().filter_map(upstream_info);
        self.with_pool(service, |pool| pool.update(now, infos));
        self.members_changed.notify_waiters();
    }
}

/// What routing needs of a member; dead members are left out.
fn upstream_info(member: &MemberRecord) -> Option<UpstreamInfo> {
    if member.state == MemberState::Dead {
        return None;
    }
    Some(UpstreamInfo {
        node: member.node,
        incarnation: member.incarnation,
        domain: member.domain.clone(),
        region: member.region.clone(),
        slots: member.slots,
        connections: member.connections,
        leaving: member.state == MemberState::Left,
        suspect: member.state == MemberState::Suspect,
    })
}
