//! How a caller uses the levels of several guards.

use std::net::SocketAddr;

use coltsfootroute::{
    admission::{ServiceLevels, ShedLevel},
    id::NodeId,
    importance::Importance,
    name::ServiceName,
    time::MonotonicTime,
};
use rand::RngExt;
use rand_pcg::Pcg64;

/// Most guards of a model.
const GUARDS: usize = 3;

/// How a caller sums up the guards of a service, and picks one.
#[derive(Clone, Copy, Debug, Default)]
pub struct GuardChoice {
    /// Sum up by the highest level instead of the mean.
    by_highest: bool,
    /// Send the call to the guard with the lower level of two drawn, instead of any.
    two_choices: bool,
    /// Send the call to the guard of two drawn that admits more of its importance.
    two_fractions: bool,
}

impl GuardChoice {
    pub fn with_highest(self) -> Self {
        Self { by_highest: true, ..self }
    }

    pub fn with_two_choices(self) -> Self {
        Self { two_choices: true, ..self }
    }

    pub fn with_two_fractions(self) -> Self {
        Self { two_fractions: true, ..self }
    }

    /// The level that the caller sheds by.
    pub fn service_level(
        self,
        now: MonotonicTime,
        levels: &ServiceLevels,
        service: &ServiceName,
    ) -> ShedLevel {
        if !self.by_highest {
            return levels.level(now, service);
        }
        let of_guard = |guard| levels.guard_level(now, service, guard_id(guard));
        (0..GUARDS).map(of_guard).max().unwrap_or(ShedLevel::OPEN)
    }

    /// The guard that the call goes to.
    pub fn pick(
        self,
        now: MonotonicTime,
        levels: &ServiceLevels,
        service: &ServiceName,
        importance: Importance,
        rng: &mut Pcg64,
    ) -> usize {
        let first = rng.random_range(0..GUARDS);
        let second = rng.random_range(0..GUARDS);
        let level = |guard| levels.guard_level(now, service, guard_id(guard));
        let fraction = |guard| level(guard).admitted_fraction(importance);
        let prefers_second = (self.two_choices && level(second) < level(first))
            || (self.two_fractions && fraction(second) > fraction(first));
        if prefers_second { second } else { first }
    }
}

/// The node of a guard.
pub fn guard_id(guard: usize) -> NodeId {
    NodeId(SocketAddr::from(([127, 0, 0, 1], 1 + guard as u16)))
}
