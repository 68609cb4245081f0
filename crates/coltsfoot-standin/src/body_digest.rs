//! Digest by which a caller knows the answer to its own request.

use sha2::{Digest, Sha256};

/// Hexadecimal digits kept of the hash: enough to tell the bodies of one run apart.
const DIGEST_DIGITS: usize = 16;

/// The digest of `body` as lower-case hexadecimal text.
pub fn body_digest(body: &[u8]) -> String {
    let hash = Sha256::digest(body);
    let mut digits: String = hash.iter().map(|byte| format!("{byte:02x}")).collect();
    digits.truncate(DIGEST_DIGITS);
    digits
}
