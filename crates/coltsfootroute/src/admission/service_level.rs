//! Shed levels of one service as a caller knows them.

use std::time::Duration;

use indexmap::IndexMap;

use super::{ShedLevel, level_average::LevelAverage};
use crate::{id::NodeId, time::MonotonicTime};

/// Silence after which a guard is forgotten.
const GUARD_RETENTION: Duration = Duration::from_secs(10);

/// What a caller has heard of one service: over all its guards, and of each.
#[derive(Clone, Debug)]
pub(super) struct ServiceLevel {
    overall: LevelAverage,
    guards: IndexMap<NodeId, LevelAverage>,
}

impl ServiceLevel {
    /// Starts with the first answer.
    pub fn new(now: MonotonicTime, guard: NodeId, level: ShedLevel) -> Self {
        let average = LevelAverage::new(now, level);
        Self { overall: average, guards: IndexMap::from([(guard, average)]) }
    }

    /// Takes in the level of a further answer.
    pub fn observe(&mut self, now: MonotonicTime, guard: NodeId, level: ShedLevel) {
        self.overall.observe(now, level);
        if let Some(known) = self.guards.get_mut(&guard) {
            known.observe(now, level);
            return;
        }
        // A new guard is rare, which makes it the time to forget those long silent.
        self.guards.retain(|_, known| known.age(now) < GUARD_RETENTION);
        self.guards.insert(guard, LevelAverage::new(now, level));
    }

    /// The level over all guards.
    pub fn overall(&self, now: MonotonicTime) -> ShedLevel {
        self.overall.level(now)
    }

    /// The level of one guard; open if it has not been heard of.
    pub fn guard_level(&self, now: MonotonicTime, guard: NodeId) -> ShedLevel {
        self.guards.get(&guard).map_or(ShedLevel::OPEN, |known| known.level(now))
    }
}
