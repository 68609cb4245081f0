//! Entry points to the services whose members the node does not hold.

use std::time::Duration;

use indexmap::IndexMap;
use rand::{Rng, RngExt, seq::IteratorRandom};

use super::{MemberRecord, MemberState, MemberUpdate};
use crate::{id::NodeId, name::ServiceName, time::MonotonicTime};

/// Entry point with its expiry time.
#[derive(Clone, Debug)]
struct SeedEntry {
    record: MemberRecord,
    /// Time at which the seed is dropped unless its group or the member itself confirms it again.
    expires: MonotonicTime,
}

/// A few random members of each service, about 120 bytes each. A seed is only a hint and may be stale; the reply of the
/// contacted node decides.
#[derive(Clone, Debug)]
pub struct SeedTable {
    /// Invariant: at most `max_services` services of at most `per_service` live members each.
    services: IndexMap<ServiceName, Vec<SeedEntry>>,
    per_service: usize,
    max_services: usize,
    max_age: Duration,
}

impl SeedTable {
    /// Creates an empty table of at most `max_services` services with at most `per_service` seeds each.
    pub fn new(per_service: usize, max_services: usize, max_age: Duration) -> Self {
        Self { services: IndexMap::new(), per_service, max_services, max_age }
    }

    /// Adds a member, replaces an older record of it, or removes it if it is not alive. In a full service the new
    /// member sometimes replaces a random one, so that every member is used as a seed by some node.
    pub fn offer(&mut self, now: MonotonicTime, rng: &mut impl Rng, update: MemberUpdate) {
        let Some(service) = update.record.service.clone() else { return };
        if update.record.state != MemberState::Alive {
            self.remove_superseded(&update.record);
            return;
        }
        if update.age >= self.max_age || self.has_no_room_for(&service) {
            return;
        }
        let seed = SeedEntry { record: update.record, expires: now + (self.max_age - update.age) };
        let seeds = self.services.entry(service).or_default();
        place_seed(seeds, seed, self.per_service, rng);
    }

    /// Removes a node that did not answer.
    pub fn remove(&mut self, node: NodeId) {
        for seeds in self.services.values_mut() {
            seeds.retain(|seed| seed.record.node != node);
        }
        self.drop_empty();
    }

    /// Removes a service whose members are held from now on, and returns its seeds.
    pub fn remove_service(
        &mut self,
        now: MonotonicTime,
        service: &ServiceName,
    ) -> Vec<MemberUpdate> {
        let seeds = self.services.swap_remove(service).unwrap_or_default();
        seeds.iter().map(|seed| self.seed_update(now, seed)).collect()
    }

    /// Returns the seeds of one service.
    pub fn of_service(&self, now: MonotonicTime, service: &ServiceName) -> Vec<MemberUpdate> {
        let seeds = self.services.get(service).map_or(&[][..], Vec::as_slice);
        seeds.iter().map(|seed| self.seed_update(now, seed)).collect()
    }

    /// Returns at most `count` seeds, one each of randomly chosen services.
    pub fn sample(
        &self,
        now: MonotonicTime,
        rng: &mut impl Rng,
        count: usize,
    ) -> Vec<MemberUpdate> {
        let services = self.services.values().sample(rng, count);
        let seeds = services.into_iter().filter_map(|seeds| seeds.iter().choose(rng));
        seeds.map(|seed| self.seed_update(now, seed)).collect()
    }

    /// Removes the seeds that have expired.
    pub fn prune(&mut self, now: MonotonicTime) {
        for seeds in self.services.values_mut() {
            seeds.retain(|seed| seed.expires > now);
        }
        self.drop_empty();
    }

    /// Returns the number of seeds.
    pub fn len(&self) -> usize {
        self.services.values().map(Vec::len).sum()
    }

    /// Whether the table has no seeds.
    pub fn is_empty(&self) -> bool {
        self.services.is_empty()
    }

    fn seed_update(&self, now: MonotonicTime, seed: &SeedEntry) -> MemberUpdate {
        let age = self.max_age.saturating_sub(seed.expires.since(now));
        MemberUpdate::new(seed.record.clone()).with_age(age)
    }

    fn has_no_room_for(&self, service: &ServiceName) -> bool {
        self.services.len() >= self.max_services && !self.services.contains_key(service)
    }

    fn remove_superseded(&mut self, record: &MemberRecord) {
        let Some(service) = &record.service else { return };
        let Some(seeds) = self.services.get_mut(service) else { return };
        seeds.retain(|seed| {
            seed.record.node != record.node || seed.record.incarnation > record.incarnation
        });
        self.drop_empty();
    }

    fn drop_empty(&mut self) {
        self.services.retain(|_, seeds| !seeds.is_empty());
    }
}

fn place_seed(seeds: &mut Vec<SeedEntry>, seed: SeedEntry, limit: usize, rng: &mut impl Rng) {
    if let Some(known) = seeds.iter_mut().find(|known| known.record.node == seed.record.node) {
        let newer =
            (seed.record.incarnation, seed.expires) > (known.record.incarnation, known.expires);
        if newer {
            *known = seed;
        }
        return;
    }
    if seeds.len() < limit {
        seeds.push(seed);
        return;
    }
    let place = rng.random_range(0..limit * 2);
    if place < limit {
        seeds[place] = seed;
    }
}
