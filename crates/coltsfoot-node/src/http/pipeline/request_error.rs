//! Why a connection's bytes are no request.

use http::StatusCode;

use crate::memory::MemoryFull;

/// Why a connection's bytes are no request. The connection is closed after the answer, since where the next
/// request would begin is not known.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FramingError {
    /// The head or the framing of the body is malformed, or could be read in two ways.
    #[error("malformed request")]
    Malformed,
    /// The head is too large.
    #[error("head too large")]
    HeadTooLarge,
    /// The body is too large.
    #[error("body too large")]
    BodyTooLarge,
    /// The rest of the request did not come in time.
    #[error("request not complete in time")]
    TimedOut,
    /// The process has no memory left to hold the request.
    #[error("no memory left for the request")]
    NoMemory,
}

impl From<MemoryFull> for FramingError {
    fn from(MemoryFull: MemoryFull) -> Self {
        Self::NoMemory
    }
}

impl FramingError {
    /// Status of the answer.
    pub fn status(self) -> StatusCode {
        match self {
            Self::Malformed => StatusCode::BAD_REQUEST,
            Self::HeadTooLarge => StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
            Self::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::TimedOut => StatusCode::REQUEST_TIMEOUT,
            Self::NoMemory => StatusCode::SERVICE_UNAVAILABLE,
        }
    }
}
