//! Details of a claim, as part of its record.

use super::{BodyDigest, ClaimHolder, ClaimId, WallTime};

value_type! {
    /// Details of a claim: its holder, the body that was claimed, and the end of the record's retention.
    #[derive(serde::Serialize, serde::Deserialize)]
    #[serde(deny_unknown_fields)]
    pub struct ClaimDetails {
        /// Identifier of the claim.
        pub claim_id: ClaimId,
        /// Incarnation of the node that made the claim.
        pub holder: ClaimHolder,
        /// Digest of the body of the claimed request.
        pub body_digest: BodyDigest,
        /// Time at which the claim was made.
        pub at: WallTime,
        /// End of the retention: from this time on, requests with the key are refused.
        pub until: WallTime,
    }
}
