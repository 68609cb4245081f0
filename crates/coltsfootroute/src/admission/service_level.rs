//! Shed levels of one service, as known to a caller.

use std::time::Duration;

use indexmap::IndexMap;

use super::{ShedLevel, level_average::LevelAverage};
use crate::{id::NodeId, time::MonotonicTime};

/// Time without a response after which a guard is removed.
const GUARD_RETENTION: Duration = Duration::from_secs(10);

/// Time without a response after which a guard does not count as one that could take a call.
const RATE_PERIOD: Duration = Duration::from_secs(2);

/// Shed levels received from the guards of one service, in total and for each guard.
#[derive(Clone, Debug)]
pub(super) struct ServiceLevel {
    overall: LevelAverage,
    guards: IndexMap<NodeId, LevelAverage>,
    /// Levels that follow from the rates that upstreams name, of the guards of such upstreams.
    rates: IndexMap<NodeId, LevelAverage>,
}

impl ServiceLevel {
    /// Creates the levels from the first response.
    pub fn new(now: MonotonicTime, guard: NodeId, level: ShedLevel) -> Self {
        let average = LevelAverage::new(now, level);
        let guards = IndexMap::from([(guard, average)]);
        Self { overall: average, guards, rates: IndexMap::new() }
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

    /// Adds the level that follows from the rate that the upstream beside `guard` names.
    pub fn observe_rate(&mut self, now: MonotonicTime, guard: NodeId, level: ShedLevel) {
        if let Some(known) = self.rates.get_mut(&guard) {
            known.observe(now, level);
        } else if level != ShedLevel::OPEN {
            self.rates.retain(|_, known| known.age(now) < GUARD_RETENTION);
            self.rates.insert(guard, LevelAverage::new(now, level));
        }
    }

    /// Returns the level over all guards.
    pub fn overall(&self, now: MonotonicTime) -> ShedLevel {
        self.overall.level(now).max(self.overall_rate(now))
    }

    /// Returns the lowest of the levels that follow from the upstreams' rates: a call that one upstream has no rate for
    /// can go to another.
    fn overall_rate(&self, now: MonotonicTime) -> ShedLevel {
        if self.rates.is_empty() {
            return ShedLevel::OPEN;
        }
        let recent = self.guards.iter().filter(|(_, known)| known.age(now) < RATE_PERIOD);
        recent.map(|(guard, _)| self.rate(now, *guard)).min().unwrap_or(ShedLevel::OPEN)
    }

    /// Returns the level that follows from the rate that the upstream beside `guard` names.
    pub fn rate(&self, now: MonotonicTime, guard: NodeId) -> ShedLevel {
        self.rates.get(&guard).map_or(ShedLevel::OPEN, |known| known.level(now))
    }

    /// Returns the guards of upstreams that name a rate, with the levels that follow from it.
    pub fn limited(&self, now: MonotonicTime) -> impl Iterator<Item = (NodeId, ShedLevel)> {
        self.rates.iter().map(move |(guard, known)| (*guard, known.level(now)))
    }

    /// Returns the level of one guard; [`ShedLevel::OPEN`] if the guard is unknown.
    pub fn guard_level(&self, now: MonotonicTime, guard: NodeId) -> ShedLevel {
        self.guards.get(&guard).map_or(ShedLevel::OPEN, |known| known.level(now))
    }
}
