//! Errors of a submission's headers.

use crate::http::RequestError;

/// A header of a submission is absent or malformed.
#[derive(Debug, thiserror::Error)]
pub enum SubmitHeaderError {
    /// A header that a submission needs is not there.
    #[error("header `{0}` is required")]
    Absent(&'static str),
    /// `if-match` holds no revision.
    #[error("header `if-match` is `{0}`: expected the revision that the submission builds on")]
    NotARevision(String),
    /// A header is not text, or repeated.
    #[error(transparent)]
    Malformed(#[from] RequestError),
}
