//! Importance of requests by team and operation.

use std::collections::BTreeSet;

use crate::{
    importance::Importance,
    schema::{ClientEntry, SchemaDocument, TeamEntry},
};

/// Importance of a team, then that of the operation.
type RequestRank = (Importance, Importance);

/// Importance of requests where teams have their own: the team's goes before the operation's, which orders the requests of
/// teams that are alike.
///
/// The least important rank in use takes the lowest level, those above it follow without a gap, and all beyond the last
/// level share it.
#[derive(Clone, Debug, Default)]
pub struct RequestRanks {
    /// Empty where no team has an importance of its own: operations keep theirs.
    ranks: Vec<RequestRank>,
}

impl RequestRanks {
    /// The ranks that `document` uses.
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

    /// Importance of a request of `team` that enters by `entry`.
    pub fn importance(&self, entry: &ClientEntry, team: Option<&TeamEntry>) -> Importance {
        match self.ranks.binary_search(&rank(entry, team)) {
            Ok(place) => Importance::from_index(place).unwrap_or(Importance::Critical),
            // No team has an importance of its own.
            Err(_) => entry.importance,
        }
    }
}

/// Who has no importance of its own has that of the operation.
fn rank(entry: &ClientEntry, team: Option<&TeamEntry>) -> RequestRank {
    let own = team.and_then(|team| team.importance);
    (own.unwrap_or(entry.importance), entry.importance)
}
