//! What makes two requests the same, for the whole fleet.

use sha2::{Digest, Sha256};

/// What a request asks for, and on whose behalf. Identities, deadlines and the host where it entered are left out: they
/// differ between the attempts of a client.
#[derive(Clone, Copy, Debug)]
pub struct FingerprintParts<'a> {
    /// Method, or what stands for it.
    pub method: &'a [u8],
    /// Host that the request is for; empty where requests name none.
    pub host: &'a [u8],
    /// Path and query.
    pub target: &'a [u8],
    /// Credential of the caller; empty if it has none. Callers who share one count as one.
    pub credential: &'a [u8],
    /// Body.
    pub body: &'a [u8],
}

impl FingerprintParts<'_> {
    /// Gives all parts to a hash, each after its length, or else bytes could pass from one part to the next.
    pub(super) fn feed(&self, mut update: impl FnMut(&[u8])) {
        for part in [self.method, self.host, self.target, self.credential, self.body] {
            update(&(part.len() as u64).to_le_bytes());
            update(part);
        }
    }
}

value_type! {
    /// The first 128 bits of SHA-256 over a request's [parts](FingerprintParts), the same at every hop and node. Shown as
    /// 32 hexadecimal digits.
    ///
    /// Nobody can find a second request with the fingerprint of a given one, so that no caller's request is taken for
    /// another's; a pair with a common fingerprint that somebody constructs concerns its maker alone.
    #[derive(serde::Serialize, serde::Deserialize)]
    #[serde(try_from = "String", into = "String")]
    pub struct RequestFingerprint(pub u128);
}

impl RequestFingerprint {
    /// The fingerprint of a request. A hash over the whole body, so that it is not taken of calls while nothing is
    /// suspected.
    pub fn of(parts: &FingerprintParts<'_>) -> Self {
        let mut hash = Sha256::new();
        parts.feed(|bytes| hash.update(bytes));
        let digest: [u8; 32] = hash.finalize().into();
        let mut first = [0; 16];
        first.copy_from_slice(&digest[..16]);
        Self(u128::from_be_bytes(first))
    }
}

hex_text!(RequestFingerprint(u128));
