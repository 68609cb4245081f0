//! Fingerprint by which all nodes recognize equal requests.

use sha2::{Digest, Sha256};

/// Parts of a request that its fingerprint covers: its content and the credential of its caller. Request identifiers,
/// deadlines and the host where it entered are left out, since they differ between the attempts of a client.
#[derive(Clone, Copy, Debug)]
pub struct FingerprintParts<'a> {
    /// Method, or its equivalent in protocols without methods.
    pub method: &'a [u8],
    /// Host that the request is addressed to; empty if it names none.
    pub host: &'a [u8],
    /// Path and query.
    pub target: &'a [u8],
    /// Credential of the caller; empty if it has none. Callers that share a credential count as one.
    pub credential: &'a [u8],
    /// Body.
    pub body: &'a [u8],
}

impl FingerprintParts<'_> {
    /// Feeds all parts to a hash, each preceded by its length: without it, requests whose bytes are divided differently
    /// between two parts would have the same hash.
    pub(super) fn feed(&self, mut update: impl FnMut(&[u8])) {
        for part in [self.method, self.host, self.target, self.credential, self.body] {
            update(&(part.len() as u64).to_le_bytes());
            update(part);
        }
    }
}

value_type! {
    /// The first 128 bits of SHA-256 over a request's [parts](FingerprintParts), equal at every hop and node. Displayed
    /// as 32 hexadecimal digits.
    ///
    /// It is infeasible to find a second request with the fingerprint of a given one, so that no caller's request is
    /// mistaken for another's; a pair of requests constructed to share a fingerprint affects only the caller that
    /// constructed it.
    #[derive(serde::Serialize, serde::Deserialize)]
    #[serde(try_from = "String", into = "String")]
    pub struct RequestFingerprint(pub u128);
}

impl RequestFingerprint {
    /// Computes the fingerprint of a request. It hashes the whole body and is therefore not computed while no request
    /// is suspected.
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
