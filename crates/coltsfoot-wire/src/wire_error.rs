//! Errors of decoding.

/// A message from a peer does not decode.
#[derive(Debug, thiserror::Error)]
pub enum WireError {
    /// The encoding itself is broken.
    #[error("malformed message: {0}")]
    Malformed(#[from] capnp::Error),
    /// An enumerant that this version does not know.
    #[error("unknown enumerant {0}")]
    NotInSchema(#[from] capnp::NotInSchema),
    /// Text that is not UTF-8.
    #[error("text is not UTF-8: {0}")]
    NotUtf8(#[from] std::str::Utf8Error),
    /// A field holds a value outside its range.
    #[error("field `{field}` is out of range")]
    OutOfRange {
        /// Name of the field.
        field: &'static str,
    },
}

impl From<WireError> for capnp::Error {
    fn from(err: WireError) -> Self {
        capnp::Error::failed(err.to_string())
    }
}
