//! The row of a key.

use super::{ClaimDetails, StoredAnswer, WallTime};

record_type! {
    /// What the table holds for a key, as JSON. A key that was never claimed has no row; a row is never
    /// deleted.
    #[derive(serde::Serialize, serde::Deserialize)]
    #[serde(rename_all = "kebab-case", deny_unknown_fields)]
    pub enum ClaimRecord {
        /// Claims of the key were released by holders that never dispatched; it may be claimed.
        Free,
        /// Claimed: may be running, have run, or never run.
        Claimed(ClaimDetails),
        /// Ran to its end.
        Finished {
            /// The claim under which it ran.
            claim: ClaimDetails,
            /// Its answer.
            answer: StoredAnswer,
        },
        /// Ran without giving a complete answer.
        Interrupted(ClaimDetails),
        /// Small remainder of a record whose retention has ended: the key is refused for good.
        Expired,
    }
}

impl ClaimRecord {
    /// Parses a row's value; `None` if it isn't a record of this version.
    pub fn parse(value: &str) -> Option<Self> {
        serde_json::from_str(value).ok()
    }

    /// The row's value.
    pub fn to_value(&self) -> String {
        // Records hold text and numbers only, for which serialization can't fail.
        serde_json::to_string(self).unwrap_or_default()
    }

    /// The claim that the record is about, if there is one.
    pub fn claim(&self) -> Option<&ClaimDetails> {
        match self {
            Self::Claimed(claim) | Self::Finished { claim, .. } | Self::Interrupted(claim) => {
                Some(claim)
            }
            Self::Free | Self::Expired => None,
        }
    }

    /// Whether the retention has ended by `now`.
    pub fn is_expired(&self, now: WallTime) -> bool {
        match self {
            Self::Expired => true,
            _ => self.claim().is_some_and(|claim| now >= claim.until),
        }
    }
}
