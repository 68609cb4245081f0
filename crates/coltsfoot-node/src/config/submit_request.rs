//! Headers of a submission.

use coltsfootroute::name::OperatorName;

use super::SubmitHeaderError;
use crate::http::RequestError;

/// What the headers of `PUT /schema` say.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SubmitRequest {
    /// Revision that the submission builds on; 0 for the first.
    pub expected: u64,
    /// The operator's idempotency key.
    pub key: String,
    /// The operator.
    pub operator: OperatorName,
}

impl SubmitRequest {
    /// Reads the headers `if-match`, `idempotency-key` and `coltsfoot-operator`.
    ///
    /// # Errors
    ///
    /// [`SubmitHeaderError`] names the first header that is absent or malformed.
    pub fn read(
        if_match: Result<Option<&str>, RequestError>,
        key: Result<Option<&str>, RequestError>,
        operator: Result<Option<&str>, RequestError>,
    ) -> Result<Self, SubmitHeaderError> {
        let if_match = if_match?.ok_or(SubmitHeaderError::Absent("if-match"))?;
        let expected = if_match
            .trim_matches('"')
            .parse()
            .map_err(|_| SubmitHeaderError::NotARevision(if_match.to_owned()))?;
        let key = key?.filter(|key| !key.is_empty());
        let key = key.ok_or(SubmitHeaderError::Absent("idempotency-key"))?;
        let operator = operator?.filter(|name| !name.is_empty()).unwrap_or(UNNAMED_OPERATOR);
        Ok(Self { expected, key: key.to_owned(), operator: OperatorName::new(operator) })
    }
}

/// Recorded where a submission names no operator.
const UNNAMED_OPERATOR: &str = "unnamed";
