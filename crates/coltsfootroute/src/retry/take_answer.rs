//! Answer to the taking of a token.

use super::TakeDenial;

value_type! {
    /// Whether a retry may go ahead.
    pub enum TakeAnswer {
        /// One token is taken: the asker may retry once.
        Granted,
        /// No token: the asker must not retry.
        Denied(TakeDenial),
    }
}
