//! Admission control where client requests enter.

use rand::Rng;

use super::{BreachCounter, ServiceLevels, ShedRefusal};
use crate::{importance::Importance, name::ServiceName, time::MonotonicTime};

/// Admission control where client requests enter a node: refuses work that would be refused deeper in
/// the call chain.
///
/// Invariant: no work of a service is refused here within the breach window after less important work
/// of that service was admitted here. While a level rises, more important work is therefore forwarded
/// to the guards, which have current information.
#[derive(Clone, Debug, Default)]
pub struct RootGate {
    levels: ServiceLevels,
    admissions: BreachCounter,
}

impl RootGate {
    /// Creates a gate without known levels, which refuses nothing.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the shed levels received with responses.
    pub fn levels(&self) -> &ServiceLevels {
        &self.levels
    }

    /// Returns the shed levels for recording another level.
    pub fn levels_mut(&mut self) -> &mut ServiceLevels {
        &mut self.levels
    }

    /// Admits or refuses work that reaches `services`.
    ///
    /// # Errors
    ///
    /// [`ShedRefusal`] with the service that has the highest shed level.
    pub fn admit(
        &mut self,
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
    /// [`ShedRefusal`] with the service that has the highest shed level.
    pub fn admit_by(
        &mut self,
        now: MonotonicTime,
        services: &[ServiceName],
        importance: Importance,
        probability: impl FnOnce(f64) -> f64,
        rng: &mut impl Rng,
    ) -> Result<(), ShedRefusal> {
        let result = self.levels.admit_by(now, services, importance, probability, rng);
        if let Err(refusal) = result {
            let lower = self.admissions.admitted_below(now, &refusal.service, importance);
            if lower.is_none() {
                return Err(refusal);
            }
        }
        for service in services {
            self.admissions.on_admission(now, service, importance);
        }
        Ok(())
    }
}
