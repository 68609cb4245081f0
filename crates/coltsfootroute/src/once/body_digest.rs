//! Digest of a request's body.

use std::fmt;

use sha2::{Digest, Sha256};

use super::hex_text;

value_type! {
    /// SHA-256 of a request's body. Distinguishes a repeat of a request from another request that uses
    /// the same key.
    #[derive(serde::Serialize, serde::Deserialize)]
    #[serde(try_from = "String", into = "String")]
    pub struct BodyDigest([u8; 32]);
}

impl BodyDigest {
    /// Computes the digest of `body`.
    pub fn of(body: &[u8]) -> Self {
        Self(Sha256::digest(body).into())
    }
}

impl fmt::Display for BodyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&hex_text::to_hex(&self.0))
    }
}

impl From<BodyDigest> for String {
    fn from(digest: BodyDigest) -> Self {
        hex_text::to_hex(&digest.0)
    }
}

impl TryFrom<String> for BodyDigest {
    type Error = &'static str;

    fn try_from(text: String) -> Result<Self, Self::Error> {
        hex_text::from_hex(&text).map(Self).ok_or("expected 64 hexadecimal digits")
    }
}
