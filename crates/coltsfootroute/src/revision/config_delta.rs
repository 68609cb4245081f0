//! Difference between two revisions, as it travels between nodes.

use super::{EntryChange, Revision, RevisionRecord};
use crate::schema::TeamEntry;

record_type! {
    /// Leads a node from any revision in `from..to` to revision `to`.
    ///
    /// Invariant: holds every service changed or removed after `from` and up to `to`; from revision 0 it
    /// holds the whole configuration, and services not in it don't exist at `to`.
    #[derive(serde::Serialize, serde::Deserialize)]
    #[serde(deny_unknown_fields)]
    pub struct ConfigDelta {
        /// Lowest revision that it applies to; 0 for a full snapshot.
        pub from: Revision,
        /// Record of the revision that it leads to, with the digest of the content that must result.
        pub record: RevisionRecord,
        /// Name of the deployment.
        pub deployment: String,
        /// The services, in order of their names.
        pub changes: Vec<EntryChange>,
        /// All teams, in order of their names, where one of them changed; a snapshot without them has none.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub teams: Option<Vec<TeamEntry>>,
    }
}

impl ConfigDelta {
    /// Revision that the delta leads to.
    pub fn to(&self) -> Revision {
        self.record.revision
    }

    /// Whether this is the whole configuration.
    pub fn is_snapshot(&self) -> bool {
        self.from == Revision::ZERO
    }
}
