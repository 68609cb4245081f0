//! Errors in the headers of a submission.

use crate::http::RequestError;

/// Error for a header of a submission that is absent or malformed.
#[derive(Debug, thiserror::Error)]
pub enum SubmitHeaderError {
    /// A required header is absent.
    #[error("header `{0}` is required")]
    Absent(&'static str),
    /// `if-match` is not a revision.
    #[error("header `if-match` is `{0}`: expected the revision that the submission builds on")]
    NotARevision(String),
    /// A header is not text, or occurs more than once.
    #[error(transparent)]
    Malformed(#[from] RequestError),
}
