//! Shed levels of services, as known to a caller.

use indexmap::IndexMap;
use rand::{Rng, RngExt};

use super::{RetryAfter, ShedLevel, ShedRefusal, service_level::ServiceLevel};
use crate::{id::NodeId, importance::Importance, name::ServiceName, time::MonotonicTime};

/// Shed levels received with responses, by service and guard.
///
/// The level of a service is the mean over its recent responses. Each guard is weighted by its share
/// of the calls, so the mean is the expected level for a call that is routed now. Without new
/// responses a level decays within about a second; the calls that are then admitted return current
/// levels.
#[derive(Clone, Debug, Default)]
pub struct ServiceLevels {
    services: IndexMap<ServiceName, ServiceLevel>,
}

impl ServiceLevels {
    /// Creates an empty set, in which every service counts as open.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records the level returned with a response from `guard`.
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

    /// Records the level that follows from the rate that the upstream beside `guard` names, returned with a response whose
    /// level has been observed.
    pub fn observe_rate(
        &mut self,
        now: MonotonicTime,
        service: &ServiceName,
        guard: NodeId,
        level: ShedLevel,
    ) {
        if let Some(known) = self.services.get_mut(service) {
            known.observe_rate(now, guard, level);
        }
    }

    /// Returns the guards of `service` whose upstreams name a rate, with the levels that follow from it.
    pub fn limited_guards(
        &self,
        now: MonotonicTime,
        service: &ServiceName,
    ) -> impl Iterator<Item = (NodeId, ShedLevel)> {
        self.services.get(service).into_iter().flat_map(move |known| known.limited(now))
    }

    /// Forgets the levels of `service`, after all its guards were gone: what they, and callers in their place, reported does
    /// not apply to those that come after them.
    pub fn forget(&mut self, service: &ServiceName) {
        self.services.swap_remove(service);
    }

    /// Returns the level of `service` at `now`; [`ShedLevel::OPEN`] if the service is unknown.
    pub fn level(&self, now: MonotonicTime, service: &ServiceName) -> ShedLevel {
        self.services.get(service).map_or(ShedLevel::OPEN, |known| known.overall(now))
    }

    /// Returns the level of one guard of `service` at `now`, for choosing between guards;
    /// [`ShedLevel::OPEN`] if the guard is unknown.
    pub fn guard_level(
        &self,
        now: MonotonicTime,
        service: &ServiceName,
        guard: NodeId,
    ) -> ShedLevel {
        self.services.get(service).map_or(ShedLevel::OPEN, |known| known.guard_level(now, guard))
    }

    /// Admits a request that can reach `services`, or refuses it on behalf of the service with the
    /// highest shed level.
    ///
    /// # Errors
    ///
    /// [`ShedRefusal`] if the request is refused; no part of it may run.
    pub fn admit(
        &self,
        now: MonotonicTime,
        services: &[ServiceName],
        importance: Importance,
        rng: &mut impl Rng,
    ) -> Result<(), ShedRefusal> {
        self.admit_by(now, services, importance, |fraction| fraction, rng)
    }

    /// Admits or refuses as [`admit`](Self::admit) does. Where the level admits a part of this importance, `probability`
    /// returns the probability of admission from that fraction.
    ///
    /// # Errors
    ///
    /// [`ShedRefusal`] if the request is refused; no part of it may run.
    pub fn admit_by(
        &self,
        now: MonotonicTime,
        services: &[ServiceName],
        importance: Importance,
        probability: impl FnOnce(f64) -> f64,
        rng: &mut impl Rng,
    ) -> Result<(), ShedRefusal> {
        let by_level = |service| (self.level(now, service), service);
        let Some((level, service)) = services.iter().map(by_level).max_by_key(|(level, _)| *level)
        else {
            return Ok(());
        };
        let fraction = level.admitted_fraction(importance);
        if fraction >= 1.0 {
            return Ok(());
        }
        let probability = if fraction > 0.0 { probability(fraction) } else { fraction };
        if rng.random::<f64>() < probability {
            return Ok(());
        }
        let retry_after = RetryAfter::draw(importance, level, 1.0, rng);
        Err(ShedRefusal { service: service.clone(), retry_after })
    }
}
