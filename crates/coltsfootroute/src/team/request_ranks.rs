//! Importance of requests by team and operation.

use std::collections::BTreeSet;

use crate::{
    importance::Importance,
    schema::{ClientEntry, SchemaDocument, TeamEntry},
};

/// Importance of a team, followed by that of the operation.
type RequestRank = (Importance, Importance);

/// Importance of requests where teams have an importance of their own. The team's importance takes precedence; the
/// operation's orders the requests of teams of equal importance.
///
/// The least important rank in use gets the lowest level, the ranks above it get the following levels without a gap,
/// and all ranks beyond the last level share it.
#[derive(Clone, Debug, Default)]
pub struct RequestRanks {
    /// Ranks in use, in ascending order. Empty if no team has an importance of its own: operations keep theirs.
    ranks: Vec<RequestRank>,
}

impl RequestRanks {
    /// Collects the ranks that `document` uses.
    pub fn new(document: &SchemaDocument) -> Self {
        if document.teams.iter().all(|team| team.importance.is_none()) {
            return Self::default();
        }
        let operations = document.services.iter().flat_map(|service| &service.operations);
        let entries: Vec<_> =
            operations.filter_map(|operation| operation.client.as_ref()).collect();
        let mut ranks = BTreeSet::new();
        for entry in entries {
            if entry.keyless {
                ranks.insert(rank(entry, None));
            } else {
                ranks.extend(document.teams.iter().map(|team| rank(entry, Some(team))));
            }
        }
        Self { ranks: ranks.into_iter().collect() }
    }

    /// Returns the importance of a request of `team` to the operation of `entry`.
    pub fn importance(&self, entry: &ClientEntry, team: Option<&TeamEntry>) -> Importance {
        match self.ranks.binary_search(&rank(entry, team)) {
            Ok(place) => Importance::from_index(place).unwrap_or(Importance::Critical),
            // No team has an importance of its own.
            Err(_) => entry.importance,
        }
    }
}

/// Returns the rank of a request; a team without an importance of its own has that of the operation.
fn rank(entry: &ClientEntry, team: Option<&TeamEntry>) -> RequestRank {
    let own = team.and_then(|team| team.importance);
    (own.unwrap_or(entry.importance), entry.importance)
}
