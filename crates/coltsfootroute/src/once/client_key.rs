//! Idempotency key as the client sent it.

name_type! {
    /// The value of the `idempotency-key` header; at most
    /// [`MAX_KEY_BYTES`](crate::constants::MAX_KEY_BYTES), as the caller has checked.
    ClientKey
}
