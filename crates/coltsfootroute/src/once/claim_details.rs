//! What a record says of the claim on its key.

use super::{BodyDigest, ClaimHolder, ClaimId, WallTime};

value_type! {
    /// Who claimed a key, for which body, and until when its record answers repeats.
    #[derive(serde::Serialize, serde::Deserialize)]
    #[serde(deny_unknown_fields)]
    pub struct ClaimDetails {
        /// The claim.
        pub claim_id: ClaimId,
        /// The life of a node that made it.
        pub holder: ClaimHolder,
        /// Digest of the body that was claimed.
        pub body_digest: BodyDigest,
        /// When it was made.
        pub at: WallTime,
        /// When the retention ends: from then on the key is refused.
        pub until: WallTime,
    }
}
