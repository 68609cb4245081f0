//! Idempotency key of a submission.

use crate::constants::MAX_KEY_BYTES;

name_type! {
    /// Idempotency key of an operator's submission. A submission repeated with the same key is accepted at most once.
    SubmissionKey
}

impl SubmissionKey {
    /// Returns whether the key has 1 to [`MAX_KEY_BYTES`] visible ASCII characters.
    pub fn is_valid(&self) -> bool {
        let text = self.as_str();
        (1..=MAX_KEY_BYTES).contains(&text.len())
            && text.bytes().all(|byte| byte.is_ascii_graphic())
    }
}
