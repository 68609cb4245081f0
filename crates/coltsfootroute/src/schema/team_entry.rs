//! Declaration of a team.

use super::RateLimit;
use crate::{importance::Importance, name::TeamName, team::KeyDigest};

record_type! {
    /// One team. Where a schema declares teams, a client's request needs the key of one.
    #[derive(serde::Serialize, serde::Deserialize, schemars::JsonSchema)]
    #[serde(deny_unknown_fields)]
    pub struct TeamEntry {
        /// Name, unique within the schema.
        #[schemars(with = "String", length(min = 1, max = 64), regex(pattern = "^[a-z0-9-]+$"))]
        pub name: TeamName,
        /// Digests of the keys that are valid; no other team holds one of them.
        #[schemars(with = "Vec<String>")]
        pub keys: Vec<KeyDigest>,
        /// Importance of the team's requests. It goes before that of the operation that they enter by, which orders the
        /// requests of teams that are alike.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub importance: Option<Importance>,
        /// Requests that the team may send over all nodes together; absent: any number.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub rate: Option<RateLimit>,
    }
}
