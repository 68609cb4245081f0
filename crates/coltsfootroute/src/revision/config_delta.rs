//! Difference between two revisions, as sent between nodes.

use super::{EntryChange, Revision, RevisionRecord};
use crate::schema::TeamEntry;

record_type! {
    /// Changes that bring a node from any revision in `from..to` to revision `to`.
    ///
    /// Invariant: contains every service changed or removed after `from` and up to `to`. If `from` is 0, it
    /// contains the whole configuration, and services that it doesn't list don't exist at `to`.
    #[derive(serde::Serialize, serde::Deserialize)]
    #[serde(deny_unknown_fields)]
    pub struct ConfigDelta {
        /// Lowest revision to which the delta applies; 0 for a full snapshot.
        pub from: Revision,
        /// Record of revision `to`, with the digest that the resulting content must have.
        pub record: RevisionRecord,
        /// Name of the deployment.
        pub deployment: String,
        /// Changed and removed services, sorted by name.
        pub changes: Vec<EntryChange>,
        /// All teams, sorted by name, if any team changed; `None` if none did. A snapshot with `None` has no teams.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub teams: Option<Vec<TeamEntry>>,
    }
}

impl ConfigDelta {
    /// Returns the revision that results from the delta.
    pub fn to(&self) -> Revision {
        self.record.revision
    }

    /// Returns whether the delta contains the whole configuration.
    pub fn is_snapshot(&self) -> bool {
        self.from == Revision::ZERO
    }
}
