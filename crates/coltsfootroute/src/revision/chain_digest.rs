//! Digest of a record and all before it.

use super::digest_macros::digest_type;

digest_type! {
    /// Digest of a [`RevisionRecord`](super::RevisionRecord), its parent's digest included: whoever holds
    /// it can tell a changed, dropped or inserted record anywhere before.
    ChainDigest
}

impl ChainDigest {
    /// Parent of the first record.
    pub const ROOT: Self = Self([0; 32]);
}
