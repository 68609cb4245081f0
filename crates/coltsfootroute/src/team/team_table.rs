//! Finds the team that holds a key.

use std::sync::Arc;

use indexmap::IndexMap;

use super::KeyDigest;
use crate::{name::TeamName, schema::TeamEntry};

/// The teams of a configuration, by key and by name. Made once for each configuration.
#[derive(Clone, Debug, Default)]
pub struct TeamTable {
    teams: IndexMap<TeamName, Arc<TeamEntry>>,
    /// Place of the team in `teams`.
    places: IndexMap<KeyDigest, usize>,
    /// Lowest rate of a team that has one.
    lowest_rate: Option<u32>,
}

impl TeamTable {
    /// The table of `teams`. Of two teams with one key, which a checked schema does not have, the first holds it.
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

    /// Turns of a team in each round of a queue that is shared out between teams: as many as its rate is times the lowest.
    /// A team without a rate has one.
    pub fn turns(&self, team: &TeamEntry) -> u32 {
        let times = team.rate.zip(self.lowest_rate).map(|(rate, lowest)| rate.per_s / lowest);
        times.unwrap_or(1).max(1)
    }

    /// Whether there is no team, so that nobody needs a key.
    pub fn is_empty(&self) -> bool {
        self.teams.is_empty()
    }

    /// The team that holds the key.
    pub fn holder(&self, key: &KeyDigest) -> Option<&Arc<TeamEntry>> {
        let (_, team) = self.teams.get_index(*self.places.get(key)?)?;
        Some(team)
    }

    /// The team called `name`.
    pub fn team(&self, name: &TeamName) -> Option<&TeamEntry> {
        self.teams.get(name).map(|team| &**team)
    }
}
