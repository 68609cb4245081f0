//! Digest of a revision record and of all records before it.

use super::digest_macros::digest_type;

digest_type! {
    /// Digest of a [`RevisionRecord`](super::RevisionRecord), including its parent's digest. Comparing it
    /// detects a changed, dropped or inserted record anywhere earlier in the history.
    ChainDigest
}

impl ChainDigest {
    /// Parent digest of the first record.
    pub const ROOT: Self = Self([0; 32]);
}
