//! The upstreams of a called service, and since when they are watched.

use std::{sync::Arc, time::Duration};

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
    /// When the gossip duty was last told that the service is in use.
    told: MonotonicTime,
    /// When the gossip duty was last told that a call has reached a member.
    reached_told: Option<MonotonicTime>,
    /// When it was last told that a call has failed to.
    unreached_told: Option<MonotonicTime>,
}

/// Longest wait for the first members of a service that this node has not called before.
pub(super) const FIRST_MEMBERS_WAIT: Duration = Duration::from_millis(1_500);
/// How often the gossip duty is told that a service is in use.
const TELL_PERIOD: Duration = Duration::from_secs(5);
/// How often the gossip duty is told that calls reach a service's members, or fail to: a few times in the silence
/// after which it would hide them.
const CONTACT_PERIOD: Duration = Duration::from_secs(2);
/// A service that has not been called for so long is no longer watched.
const FORGET_AFTER: Duration = Duration::from_secs(600);

impl Dispatcher {
    /// Acts on the pool of `service`, if the node watches it.
    pub(super) fn with_pool<T>(
        &self,
        service: &ServiceName,
        act: impl FnOnce(&mut UpstreamPool) -> T,
    ) -> Option<T> {
        self.pools.borrow_mut().get_mut(service).map(|entry| act(&mut entry.pool))
    }

    /// Whether `service` has no upstream that stays, and this node has watched it for long enough to know.
    pub(super) fn has_gone(&self, service: &ServiceName) -> bool {
        let now = self.clock.now();
        let pools = self.pools.borrow();
        let Some(entry) = pools.get(service) else { return false };
        entry.pool.is_empty() && now.since(entry.watched_since) >= FIRST_MEMBERS_WAIT
    }

    /// Watches `service` from now on. Returns since when it has been watched.
    pub(super) async fn watch(&self, service: &ServiceName) -> MonotonicTime {
        let now = self.clock.now();
        if let Some((watched_since, was_cold)) = self.note_use(service, now) {
            if was_cold {
                // A closed ring means that the process stops.
                let _ = self.gossip.send(GossipCommand::Touch(service.clone())).await;
            }
            return watched_since;
        }
        let pool = UpstreamPool::new(
            self.identity.domain.clone(),
            self.identity.region.clone(),
            RoutingSettings::default(),
        );
        let entry = ServicePool {
            pool,
            watched_since: now,
            called: now,
            told: now,
            reached_told: None,
            unreached_told: None,
        };
        self.pools.borrow_mut().insert(service.clone(), entry);
        self.send_watches().await;
        now
    }

    /// Since when `service` is watched, and whether it was last called a while ago.
    fn note_use(&self, service: &ServiceName, now: MonotonicTime) -> Option<(MonotonicTime, bool)> {
        let mut pools = self.pools.borrow_mut();
        let entry = pools.get_mut(service)?;
        let was_cold = now.since(entry.told) >= TELL_PERIOD;
        if was_cold {
            entry.told = now;
        }
        entry.called = now;
        Some((entry.watched_since, was_cold))
    }

    /// Tells the gossip duty whether a call has reached a member of `service`, unless it has just been told.
    pub(super) async fn note_contact(&self, service: &ServiceName, reached: bool) {
        if !self.is_news(service, reached) {
            return;
        }
        let command = match reached {
            true => GossipCommand::Reached(service.clone()),
            false => GossipCommand::Unreached(service.clone()),
        };
        // A closed ring means that the process stops.
        let _ = self.gossip.send(command).await;
    }

    fn is_news(&self, service: &ServiceName, reached: bool) -> bool {
        let now = self.clock.now();
        let mut pools = self.pools.borrow_mut();
        let Some(entry) = pools.get_mut(service) else { return false };
        let told = if reached { &mut entry.reached_told } else { &mut entry.unreached_told };
        let is_news = told.is_none_or(|told| now.since(told) >= CONTACT_PERIOD);
        if is_news {
            *told = Some(now);
        }
        is_news
    }

    /// Stops watching services that have not been called for long, unless they are pinned.
    pub(super) async fn forget_unused(&self) {
        let now = self.clock.now();
        let pinned = self.pinned_services();
        let before = self.pools.borrow().len();
        self.pools.borrow_mut().retain(|service, entry| {
            now.since(entry.called) < FORGET_AFTER || pinned.contains(service)
        });
        if self.pools.borrow().len() < before {
            self.send_watches().await;
        }
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
