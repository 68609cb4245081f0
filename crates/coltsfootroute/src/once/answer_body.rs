//! Body of a stored answer.

use base64::{Engine, engine::general_purpose::STANDARD};

use super::{BodyDigest, ClaimId};

record_type! {
    /// Location of the body of a stored answer.
    #[derive(serde::Serialize, serde::Deserialize)]
    #[serde(rename_all = "kebab-case")]
    pub enum AnswerBody {
        /// In the record itself, as Base64.
        Inline(#[serde(with = "base64_text")] Vec<u8>),
        /// In the object store. If the object is missing, the record has expired since it was read, and
        /// the request is answered as for [`ClaimResult::Expired`](super::ClaimResult::Expired).
        Object {
            /// Name of the object.
            name: String,
            /// Digest of the body, checked when it is replayed.
            digest: BodyDigest,
        },
    }
}

impl AnswerBody {
    /// Returns the name of the object that holds the answer of `claim_id`.
    pub fn object_name(claim_id: ClaimId) -> String {
        format!("once-{claim_id}")
    }
}

mod base64_text {
    use serde::{Deserialize, Deserializer, Serializer, de::Error};

    use super::{Engine, STANDARD};

    pub(super) fn serialize<S: Serializer>(bytes: &[u8], serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(&STANDARD.encode(bytes))
    }

    pub(super) fn deserialize<'de, D: Deserializer<'de>>(
        deserializer: D,
    ) -> Result<Vec<u8>, D::Error> {
        let text = String::deserialize(deserializer)?;
        STANDARD.decode(text).map_err(D::Error::custom)
    }
}
