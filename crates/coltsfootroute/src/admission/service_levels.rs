//! Shed levels of services as a caller knows them.

use indexmap::IndexMap;
use rand::{Rng, RngExt};

use super::{RetryAfter, ShedLevel, ShedRefusal, service_level::ServiceLevel};
use crate::{id::NodeId, importance::Importance, name::ServiceName, time::MonotonicTime};

/// The shed levels that came back in answers, by service and guard.
///
/// The level of a service is the mean over its latest answers: each guard counts by the share of the
/// calls that go to it, so the level is the one that a call routed now is expected to meet. Without
/// fresh news a level decays within about a second; the work that this lets through brings the next
/// news.
#[derive(Clone, Debug, Default)]
pub struct ServiceLevels {
    services: IndexMap<ServiceName, ServiceLevel>,
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
        match self.services.get_mut(service) {
            Some(known) => known.observe(now, guard, level),
            None => {
                self.services.insert(service.clone(), ServiceLevel::new(now, guard, level));
            }
        }
    }

    /// The level of `service` at `now`.
    pub fn level(&self, now: MonotonicTime, service: &ServiceName) -> ShedLevel {
        self.services.get(service).map_or(ShedLevel::OPEN, |known| known.overall(now))
    }

    /// The level of one guard of `service` at `now`, for the choice between guards.
    pub fn guard_level(
        &self,
        now: MonotonicTime,
        service: &ServiceName,
        guard: NodeId,
    ) -> ShedLevel {
        self.services.get(service).map_or(ShedLevel::OPEN, |known| known.guard_level(now, guard))
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
