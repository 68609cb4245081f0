//! The services that this node watches, and updates of their members.

use std::{rc::Rc, sync::Arc, time::Duration};

use coltsfootroute::{
    membership::{MemberRecord, MemberState},
    name::ServiceName,
    routing::{RoutingSettings, UpstreamInfo, UpstreamPool},
    time::MonotonicTime,
};

use super::{call_ingress::CallIngress, member_counts::MemberCounts, service_pool::ServicePool};
use crate::{config::ConfigInForce, gossip::GossipCommand};

/// Longest wait for the first members of a service that this node has not called before.
pub(super) const FIRST_MEMBERS_WAIT: Duration = Duration::from_millis(1_500);
/// Shortest time between two reports to the gossip duty that a service is in use.
const USE_REPORT_PERIOD: Duration = Duration::from_secs(5);
/// Shortest time between two reports to the gossip duty that calls reach a service's members, or two that they fail
/// to: a few reports fit into the silence after which the gossip duty would hide the members.
const CONTACT_REPORT_PERIOD: Duration = Duration::from_secs(2);
/// Time without a call after which a service is no longer watched.
const UNWATCH_AFTER: Duration = Duration::from_secs(600);

/// Maximum number of services in a schema for which all of them are watched, so that no client's first call waits.
const MAX_EAGER_SERVICES: usize = 32;

impl CallIngress {
    /// Applies a configuration that has come into force.
    pub async fn configure(&self, config: &Arc<ConfigInForce>) {
        self.context.metrics.control.set_revision(config.revision());
        for service in self.pinned_services() {
            self.watch(&service).await;
        }
    }

    /// Returns the services that are watched whether they are called or not: all services of a small schema, else those
    /// that the upstream beside the node calls.
    fn pinned_services(&self) -> Vec<ServiceName> {
        let Some(config) = self.context.config.load() else { return Vec::new() };
        if config.service_count() <= MAX_EAGER_SERVICES {
            return config.services();
        }
        let own = self.guard.service();
        own.map(|service| config.callees(&service)).unwrap_or_default()
    }

    /// Watches the services that the upstream beside the node calls, whenever its service changes, so that
    /// their members are known before its first call.
    pub async fn watch_callees(self: Rc<Self>) {
        loop {
            self.guard.service_changed.notified().await;
            let (Some(config), Some(service)) = (self.context.config.load(), self.guard.service())
            else {
                continue;
            };
            for callee in config.callees(&service) {
                self.watch(&callee).await;
            }
        }
    }

    /// Applies `act` to the pool of `service`; returns `None` if the node does not watch the service.
    pub(super) fn with_pool<T>(
        &self,
        service: &ServiceName,
        act: impl FnOnce(&mut UpstreamPool) -> T,
    ) -> Option<T> {
        self.pools.borrow_mut().get_mut(service).map(|entry| act(&mut entry.pool))
    }

    /// Whether `service` has no upstream other than departing ones, and this node has watched it for at least
    /// [`FIRST_MEMBERS_WAIT`], long enough to know.
    pub(super) fn has_no_upstream(&self, service: &ServiceName) -> bool {
        let now = self.context.now();
        let pools = self.pools.borrow();
        let Some(entry) = pools.get(service) else { return false };
        entry.pool.is_empty() && now.since(entry.watched_since) >= FIRST_MEMBERS_WAIT
    }

    /// Starts watching `service` unless it is watched already. Returns the time since which it has been watched.
    pub(super) async fn watch(&self, service: &ServiceName) -> MonotonicTime {
        let now = self.context.now();
        if let Some((watched_since, is_report_due)) = self.record_use(service, now) {
            if is_report_due {
                self.context.send_gossip_command(GossipCommand::Touch(service.clone())).await;
            }
            return watched_since;
        }
        let pool = UpstreamPool::new(
            self.context.identity.domain.clone(),
            self.context.identity.region.clone(),
            RoutingSettings::default(),
        );
        let entry = ServicePool {
            pool,
            watched_since: now,
            called: now,
            use_reported: now,
            reached_reported: None,
            unreached_reported: None,
        };
        self.pools.borrow_mut().insert(service.clone(), entry);
        self.send_watches().await;
        now
    }

    /// Records a use of `service`. Returns the time since which it has been watched, and whether its use is to be
    /// reported to the gossip duty again; `None` if the node does not watch it.
    fn record_use(
        &self,
        service: &ServiceName,
        now: MonotonicTime,
    ) -> Option<(MonotonicTime, bool)> {
        let mut pools = self.pools.borrow_mut();
        let entry = pools.get_mut(service)?;
        let is_report_due = now.since(entry.use_reported) >= USE_REPORT_PERIOD;
        if is_report_due {
            entry.use_reported = now;
        }
        entry.called = now;
        Some((entry.watched_since, is_report_due))
    }

    /// Reports to the gossip duty whether a call has reached a member of `service`, unless the same was reported less
    /// than [`CONTACT_REPORT_PERIOD`] ago.
    pub(super) async fn report_contact(&self, service: &ServiceName, reached: bool) {
        if !self.is_contact_report_due(service, reached) {
            return;
        }
        let command = match reached {
            true => GossipCommand::Reached(service.clone()),
            false => GossipCommand::Unreached(service.clone()),
        };
        self.context.send_gossip_command(command).await;
    }

    fn is_contact_report_due(&self, service: &ServiceName, reached: bool) -> bool {
        let now = self.context.now();
        let mut pools = self.pools.borrow_mut();
        let Some(entry) = pools.get_mut(service) else { return false };
        let last_report =
            if reached { &mut entry.reached_reported } else { &mut entry.unreached_reported };
        let is_due = last_report.is_none_or(|last| now.since(last) >= CONTACT_REPORT_PERIOD);
        if is_due {
            *last_report = Some(now);
        }
        is_due
    }

    /// Stops watching services that have not been called for [`UNWATCH_AFTER`], unless they are pinned.
    pub async fn unwatch_idle(&self) {
        let now = self.context.now();
        let pinned = self.pinned_services();
        let before = self.pools.borrow().len();
        self.pools.borrow_mut().retain(|service, entry| {
            now.since(entry.called) < UNWATCH_AFTER || pinned.contains(service)
        });
        if self.pools.borrow().len() < before {
            self.send_watches().await;
        }
    }

    async fn send_watches(&self) {
        let services = self.pools.borrow().keys().cloned().collect();
        self.context.send_gossip_command(GossipCommand::Watch(services)).await;
    }

    /// Updates the members of a watched service.
    pub fn update_members(&self, service: &ServiceName, members: &Arc<[MemberRecord]>) {
        let now = self.context.now();
        self.member_counts.borrow_mut().insert(service.clone(), MemberCounts::of(members));
        let infos = members.iter().filter_map(upstream_info);
        let has_gained_first = self.with_pool(service, |pool| {
            let was_empty = pool.is_empty();
            pool.update(now, infos);
            was_empty && !pool.is_empty()
        });
        if has_gained_first == Some(true) {
            self.root.borrow_mut().levels_mut().forget(service);
        }
        self.members_changed.notify_waiters();
    }
}

/// Converts a member to the information that routing needs; returns `None` for a dead member.
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
