//! Idempotency key as the client sent it.

name_type! {
    /// Value of the `idempotency-key` header. The caller has checked that it is no longer than
    /// [`MAX_KEY_BYTES`](crate::constants::MAX_KEY_BYTES).
    ClientKey
}
