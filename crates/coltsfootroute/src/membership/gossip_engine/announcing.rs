//! Announcements and leaves of the own upstream, and the choice of watched services.

use indexmap::IndexSet;
use rand::Rng;

use super::{GossipEngine, watch_state::WatchState};
use crate::{
    membership::{GossipEffect, GroupView, MemberState, UpstreamOffer},
    name::ServiceName,
    time::MonotonicTime,
};

/// Factor by which the departing node sends its leave to more members than a member that forwards it.
const OWN_LEAVE_FACTOR: usize = 2;

impl GossipEngine {
    /// Registers the upstream: this node becomes a member of the upstream's group. Has no effect if the same offer is
    /// already announced. After a leave, the node starts a new instance.
    pub fn announce(
        &mut self,
        now: MonotonicTime,
        rng: &mut impl Rng,
        offer: UpstreamOffer,
    ) -> Vec<GossipEffect> {
        if self.has_announced(&offer) {
            return Vec::new();
        }
        if self.own_record.service.as_ref() != Some(&offer.service) {
            self.leave_own_group(now, rng);
            self.track_group(now, rng, offer.service.clone());
        }
        self.leave_repeats = 0;
        if self.own_record.state == MemberState::Left {
            // Callers never again choose an upstream in the incarnation in which it left.
            self.own_record.incarnation = self.own_record.incarnation.next_instance();
        }
        self.own_record.service = Some(offer.service);
        self.own_record.slots = offer.slots;
        self.own_record.connections = offer.connections;
        self.own_record.state = MemberState::Alive;
        self.resume_monitoring(now);
        self.reincarnate(now, self.own_record.incarnation);
        self.push_eagerly(now, rng, self.own_record.node, self.settings.eager_fanout, false);
        std::mem::take(&mut self.effects)
    }

    /// Announces that the upstream takes no new requests: notifies several members and the recent watchers
    /// immediately, and repeats this a few times. The node continues as a watcher.
    pub fn leave(&mut self, now: MonotonicTime, rng: &mut impl Rng) -> Vec<GossipEffect> {
        self.leave_own_group(now, rng);
        std::mem::take(&mut self.effects)
    }

    /// Holds the members of exactly these services and of the own one. Counts as a use of each.
    pub fn watch(
        &mut self,
        now: MonotonicTime,
        rng: &mut impl Rng,
        services: impl IntoIterator<Item = ServiceName>,
    ) {
        let wanted: IndexSet<ServiceName> = services.into_iter().collect();
        let own = self.own_record.service.clone();
        let dropped = self
            .groups
            .keys()
            .filter(|service| !wanted.contains(*service) && own.as_ref() != Some(*service));
        for service in dropped.cloned().collect::<Vec<_>>() {
            self.untrack_group(now, rng, &service);
        }
        for service in wanted {
            self.track_group(now, rng, service.clone());
            self.note_use(now, service.as_str());
        }
    }

    /// Notes that a watched service is being called. A service not in use until now is pulled at the next tick.
    pub fn note_use(&mut self, now: MonotonicTime, service: &str) {
        let Some(watch) = self.watches.get_mut(service) else { return };
        if now.since(watch.last_used) >= self.settings.cold_after {
            watch.due = watch.due.min(now);
        }
        watch.last_used = now;
    }

    /// Notes that a call has reached a member of a watched service, which shows that the service is available even if
    /// its members do not answer pulls.
    pub fn note_call_reached(&mut self, now: MonotonicTime, service: &str) {
        if let Some(watch) = self.watches.get_mut(service) {
            watch.last_reached = Some(now);
        }
    }

    /// Notes that a call to a member of a watched service could not reach it.
    pub fn note_call_unreachable(&mut self, now: MonotonicTime, service: &str) {
        if let Some(watch) = self.watches.get_mut(service) {
            watch.last_unreachable = Some(now);
        }
    }

    /// Repeats the leave, because datagrams may be lost.
    pub(super) fn repeat_leave(&mut self, now: MonotonicTime, rng: &mut impl Rng) {
        if self.leave_repeats == 0 || now < self.leave_due {
            return;
        }
        self.leave_repeats -= 1;
        self.leave_due = now + self.settings.leave_interval;
        let fanout = self.settings.eager_fanout * OWN_LEAVE_FACTOR;
        self.push_eagerly(now, rng, self.own_record.node, fanout, false);
    }

    fn has_announced(&self, offer: &UpstreamOffer) -> bool {
        let own = &self.own_record;
        let same_size = own.slots == offer.slots && own.connections == offer.connections;
        self.is_member_of(&offer.service) && same_size
    }

    fn leave_own_group(&mut self, now: MonotonicTime, rng: &mut impl Rng) {
        if !self.is_member() {
            return;
        }
        self.own_record.state = MemberState::Left;
        self.round = None;
        self.suspicions.clear();
        self.publish_self(now);
        let fanout = self.settings.eager_fanout * OWN_LEAVE_FACTOR;
        self.push_eagerly(now, rng, self.own_record.node, fanout, true);
        self.leave_repeats = self.settings.leave_rounds;
        self.leave_due = now + self.settings.leave_interval;
    }

    /// Starts to hold the members of a service, beginning with its entry points.
    fn track_group(&mut self, now: MonotonicTime, rng: &mut impl Rng, service: ServiceName) {
        if self.groups.contains_key(&service) {
            return;
        }
        let settings = &self.settings;
        let group = GroupView::new(settings.max_members, settings.tombstone_retention);
        self.groups.insert(service.clone(), group);
        self.watches.insert(service.clone(), WatchState::new(now));
        for seed in self.seeds.remove_service(now, &service) {
            self.merge_update(now, rng, seed, false);
        }
    }

    /// Stops holding the members of a service, except some entry points.
    fn untrack_group(&mut self, now: MonotonicTime, rng: &mut impl Rng, service: &ServiceName) {
        let seeds = self.seeds_of(now, rng, service);
        self.groups.swap_remove(service);
        self.watches.swap_remove(service);
        for seed in seeds {
            self.seeds.offer(now, rng, seed);
        }
    }
}
