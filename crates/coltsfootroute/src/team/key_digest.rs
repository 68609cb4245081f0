//! Digest of a team's key.

use std::{fmt, str::FromStr};

use sha2::{Digest, Sha256};

use crate::revision::digest_bytes;

value_type! {
    /// SHA-256 of a key, written as 64 lower-case hexadecimal digits. The only form in which a key is kept, sent between
    /// nodes, recorded or shown: whoever reads it learns no key, as long as keys are drawn at random.
    #[derive(serde::Serialize, serde::Deserialize)]
    #[serde(try_from = "String", into = "String")]
    pub struct KeyDigest([u8; 32]);
}

impl KeyDigest {
    /// Digest of the key `key`.
    pub fn of_key(key: &[u8]) -> Self {
        Self(Sha256::digest(key).into())
    }

    /// The first digits, which tell keys apart for a reader.
    pub fn short(&self) -> String {
        self.to_string()[..SHORT_DIGITS].to_owned()
    }
}

/// Digits that tell the keys of a deployment apart.
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

/// The text is no digest of a key. It may be the key itself, so that it is not repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error(
    "expected the SHA-256 of a key as 64 hexadecimal digits, as `coltsfootctl digest-key` prints it"
)]
pub struct MalformedDigest;
