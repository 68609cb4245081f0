//! Result of acquiring a retry token.

use super::AcquireDenial;

value_type! {
    /// Result of acquiring a token for a retry.
    pub enum AcquireResult {
        /// One token was acquired; the caller may retry once.
        Granted,
        /// No token was acquired; the caller must not retry.
        Denied(AcquireDenial),
    }
}
