//! Record of a key in the table.

use super::{ClaimDetails, StoredAnswer, WallTime};

record_type! {
    /// Record of a key, stored in its row as JSON. A key that was never claimed has no row; a row is
    /// never deleted.
    #[derive(serde::Serialize, serde::Deserialize)]
    #[serde(rename_all = "kebab-case", deny_unknown_fields)]
    pub enum ClaimRecord {
        /// All claims of the key were released by holders that never dispatched; the key may be claimed.
        Free,
        /// The key is claimed: the request may be running, may have run, or may never run.
        Claimed(ClaimDetails),
        /// The request ran and gave a complete answer.
        Finished {
            /// The claim under which it ran.
            claim: ClaimDetails,
            /// Its answer.
            answer: StoredAnswer,
        },
        /// The request ran without giving a complete answer.
        Interrupted(ClaimDetails),
        /// Tombstone of a record whose retention has ended: the key is refused permanently.
        Expired,
    }
}

impl ClaimRecord {
    /// Parses a row's value; `None` if it isn't a record that this version can read.
    pub fn parse(value: &str) -> Option<Self> {
        serde_json::from_str(value).ok()
    }

    /// Serializes the record to the row's value.
    pub fn to_value(&self) -> String {
        // Records hold text and numbers only, for which serialization can't fail.
        serde_json::to_string(self).unwrap_or_default()
    }

    /// Returns the claim that the record contains; `None` for `Free` and `Expired`.
    pub fn claim(&self) -> Option<&ClaimDetails> {
        match self {
            Self::Claimed(claim) | Self::Finished { claim, .. } | Self::Interrupted(claim) => {
                Some(claim)
            }
            Self::Free | Self::Expired => None,
        }
    }

    /// Returns whether the retention has ended at `now`.
    pub fn is_expired(&self, now: WallTime) -> bool {
        match self {
            Self::Expired => true,
            _ => self.claim().is_some_and(|claim| now >= claim.until),
        }
    }
}
