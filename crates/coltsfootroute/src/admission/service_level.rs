//! Shed levels of one service, as known to a caller.

use std::time::Duration;

use indexmap::IndexMap;

use super::{ShedLevel, level_average::LevelAverage};
use crate::{id::NodeId, time::MonotonicTime};

/// Time without a response after which a guard is removed.
const GUARD_RETENTION: Duration = Duration::from_secs(10);

/// Shed levels received from the guards of one service, in total and for each guard.
#[derive(Clone, Debug)]
pub(super) struct ServiceLevel {
    overall: LevelAverage,
    guards: IndexMap<NodeId, LevelAverage>,
}

impl ServiceLevel {
    /// Creates the levels from the first response.
    pub fn new(now: MonotonicTime, guard: NodeId, level: ShedLevel) -> Self {
        let average = LevelAverage::new(now, level);
        Self { overall: average, guards: IndexMap::from([(guard, average)]) }
    }

    /// Adds the level of another response.
    pub fn observe(&mut self, now: MonotonicTime, guard: NodeId, level: ShedLevel) {
        self.overall.observe(now, level);
        if let Some(known) = self.guards.get_mut(&guard) {
            known.observe(now, level);
            return;
        }
        // New guards are rare, so this is a cheap moment to remove those that have not responded for long.
        self.guards.retain(|_, known| known.age(now) < GUARD_RETENTION);
        self.guards.insert(guard, LevelAverage::new(now, level));
    }

    /// Returns the level over all guards.
    pub fn overall(&self, now: MonotonicTime) -> ShedLevel {
        self.overall.level(now)
    }

    /// Returns the level of one guard; [`ShedLevel::OPEN`] if the guard is unknown.
    pub fn guard_level(&self, now: MonotonicTime, guard: NodeId) -> ShedLevel {
        self.guards.get(&guard).map_or(ShedLevel::OPEN, |known| known.level(now))
    }
}
