//! What a node refuses where client requests enter.

use rand::Rng;

use super::{BreachCounter, ServiceLevels, ShedRefusal};
use crate::{importance::Importance, name::ServiceName, time::MonotonicTime};

/// What a node refuses where client requests enter: work that would be refused deeper down.
///
/// Invariant: no work of a service is refused here within the breach window after less important work
/// of that service was admitted here. While a level rises, the more important work of that moment goes
/// on to the guards, which know best.
#[derive(Clone, Debug, Default)]
pub struct RootGate {
    levels: ServiceLevels,
    admissions: BreachCounter,
}

impl RootGate {
    /// A gate that has heard of no level and refuses nothing.
    pub fn new() -> Self {
        Self::default()
    }

    /// Levels of the services, as heard in answers.
    pub fn levels(&self) -> &ServiceLevels {
        &self.levels
    }

    /// The same, to take in a level.
    pub fn levels_mut(&mut self) -> &mut ServiceLevels {
        &mut self.levels
    }

    /// Admits or refuses work that reaches `services`.
    ///
    /// # Errors
    ///
    /// [`ShedRefusal`] names the service that sheds work of this importance most.
    pub fn admit(
        &mut self,
        now: MonotonicTime,
        services: &[ServiceName],
        importance: Importance,
        rng: &mut impl Rng,
    ) -> Result<(), ShedRefusal> {
        if let Err(refusal) = self.levels.admit(now, services, importance, rng) {
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
