//! Answer to the taking of a token.

use super::AcquireDenial;

value_type! {
    /// Whether a retry may go ahead.
    pub enum AcquireResult {
        /// One token is taken: the asker may retry once.
        Granted,
        /// No token: the asker must not retry.
        Denied(AcquireDenial),
    }
}
