//! Lookup of teams by key and by name.

use std::sync::Arc;

use indexmap::IndexMap;

use super::KeyDigest;
use crate::{name::TeamName, schema::TeamEntry};

/// The teams of a configuration, by key and by name. Built once for each configuration.
#[derive(Clone, Debug, Default)]
pub struct TeamTable {
    teams: IndexMap<TeamName, Arc<TeamEntry>>,
    /// Index in `teams` of the team that holds each key.
    places: IndexMap<KeyDigest, usize>,
    /// Lowest rate among the teams with a rate, in requests a second; `None` if no team has one.
    lowest_rate: Option<u32>,
}

impl TeamTable {
    /// Builds the table of `teams`. If two teams share a key, which a validated schema excludes, the first one holds
    /// it.
    pub fn new(teams: &[TeamEntry]) -> Self {
        let mut table = Self::default();
        for team in teams {
            let (place, _) = table.teams.insert_full(team.name.clone(), Arc::new(team.clone()));
            for key in &team.keys {
                table.places.entry(*key).or_insert(place);
            }
        }
        let rates = teams.iter().filter_map(|team| team.rate);
        table.lowest_rate = rates.map(|rate| rate.per_s.max(1)).min();
        table
    }

    /// Returns the turns of a team in each round of a queue shared between teams: the ratio of its rate to the lowest
    /// rate, at least 1. A team without a rate has one turn.
    pub fn turns(&self, team: &TeamEntry) -> u32 {
        let times = team.rate.zip(self.lowest_rate).map(|(rate, lowest)| rate.per_s / lowest);
        times.unwrap_or(1).max(1)
    }

    /// Returns whether there is no team, in which case callers need no key.
    pub fn is_empty(&self) -> bool {
        self.teams.is_empty()
    }

    /// Returns the team that holds the key; `None` if no team does.
    pub fn holder(&self, key: &KeyDigest) -> Option<&Arc<TeamEntry>> {
        let (_, team) = self.teams.get_index(*self.places.get(key)?)?;
        Some(team)
    }

    /// Returns the team called `name`; `None` if there is none.
    pub fn team(&self, name: &TeamName) -> Option<&TeamEntry> {
        self.teams.get(name).map(|team| &**team)
    }
}
