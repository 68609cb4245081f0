//! Digest of a team's key.

use std::{fmt, str::FromStr};

use sha2::{Digest, Sha256};

use crate::revision::digest_bytes;

value_type! {
    /// SHA-256 of a key, written as 64 lower-case hexadecimal digits. The only form in which a key is kept, sent
    /// between nodes, recorded or displayed: a reader can't derive the key from it, provided that keys are drawn at
    /// random.
    #[derive(serde::Serialize, serde::Deserialize)]
    #[serde(try_from = "String", into = "String")]
    pub struct KeyDigest([u8; 32]);
}

impl KeyDigest {
    /// Computes the digest of `key`.
    pub fn of_key(key: &[u8]) -> Self {
        Self(Sha256::digest(key).into())
    }

    /// Returns the first `SHORT_DIGITS` digits, by which a reader distinguishes keys.
    pub fn short(&self) -> String {
        self.to_string()[..SHORT_DIGITS].to_owned()
    }
}

/// Number of digits that suffice to distinguish the keys of a deployment.
const SHORT_DIGITS: usize = 12;

impl fmt::Display for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl From<KeyDigest> for String {
    fn from(digest: KeyDigest) -> Self {
        digest.to_string()
    }
}

impl TryFrom<String> for KeyDigest {
    type Error = MalformedDigest;

    fn try_from(text: String) -> Result<Self, MalformedDigest> {
        text.parse()
    }
}

impl FromStr for KeyDigest {
    type Err = MalformedDigest;

    fn from_str(text: &str) -> Result<Self, MalformedDigest> {
        digest_bytes(text).map(Self).ok_or(MalformedDigest)
    }
}

/// Error for a text that is not the digest of a key. It omits the text, which may be the key itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error(
    "expected the SHA-256 of a key as 64 hexadecimal digits, as `coltsfootctl digest-key` prints it"
)]
pub struct MalformedDigest;
