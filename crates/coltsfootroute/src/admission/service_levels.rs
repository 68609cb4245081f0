//! Shed levels of services as a caller knows them.

use std::time::Duration;

use indexmap::IndexMap;
use rand::{Rng, RngExt};

use super::{RetryAfter, ShedLevel, ShedRefusal, guard_level::GuardLevel};
use crate::{id::NodeId, importance::Importance, name::ServiceName, time::MonotonicTime};

/// Age at which a guard is forgotten.
const FORGET_AFTER: Duration = Duration::from_secs(10);

/// The shed levels that came back in answers, by service and guard.
///
/// The level of a service is the mean over its guards, weighted by the answers each gave of late:
/// the level that a call routed now is expected to meet. Without fresh news a level decays within
/// about a second; the work that this lets through brings the next news.
#[derive(Clone, Debug, Default)]
pub struct ServiceLevels {
    services: IndexMap<ServiceName, IndexMap<NodeId, GuardLevel>>,
}

impl ServiceLevels {
    /// Creates an empty set: every service counts as open.
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes in the level that came back in an answer from `guard`.
    pub fn observe(
        &mut self,
        now: MonotonicTime,
        service: &ServiceName,
        guard: NodeId,
        level: ShedLevel,
    ) {
        if !self.services.contains_key(service) {
            self.services.insert(service.clone(), IndexMap::new());
        }
        let Some(guards) = self.services.get_mut(service) else { return };
        if let Some(known) = guards.get_mut(&guard) {
            known.observe(now, level);
            return;
        }
        // A new guard is rare, which makes it the time to forget those long silent.
        guards.retain(|_, known| known.age(now) < FORGET_AFTER);
        guards.insert(guard, GuardLevel::new(now, level));
    }

    /// The level of `service` at `now`.
    pub fn level(&self, now: MonotonicTime, service: &ServiceName) -> ShedLevel {
        let Some(guards) = self.services.get(service) else { return ShedLevel::OPEN };
        let mut weights = 0.0;
        let mut levels = 0.0;
        for known in guards.values() {
            let weight = known.weight(now);
            weights += weight;
            levels += weight * known.levels(now);
        }
        if weights > 0.0 { ShedLevel::from_levels(levels / weights) } else { ShedLevel::OPEN }
    }

    /// Decides on a request that can reach `services`: admitted, or refused on behalf of the service
    /// that sheds most.
    ///
    /// # Errors
    ///
    /// [`ShedRefusal`] if the request is refused; no part of it may run then.
    pub fn admit(
        &self,
        now: MonotonicTime,
        services: &[ServiceName],
        importance: Importance,
        rng: &mut impl Rng,
    ) -> Result<(), ShedRefusal> {
        let by_level = |service| (self.level(now, service), service);
        let Some((level, service)) = services.iter().map(by_level).max_by_key(|(level, _)| *level)
        else {
            return Ok(());
        };
        let fraction = level.admitted_fraction(importance);
        if fraction >= 1.0 || rng.random::<f64>() < fraction {
            return Ok(());
        }
        let retry_after = RetryAfter::draw(importance, level, 1.0, rng);
        Err(ShedRefusal { service: service.clone(), retry_after })
    }
}
