//! Headers of a schema submission.

use coltsfootroute::name::OperatorName;

use super::SubmitHeaderError;
use crate::http::RequestError;

/// Values of the headers of `PUT /schema`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SubmitRequest {
    /// Revision on which the submission builds; 0 for the first.
    pub expected: u64,
    /// Idempotency key chosen by the operator.
    pub key: String,
    /// Name of the operator; `unnamed` if the submission gives none.
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

/// Operator name recorded for a submission that gives none.
const UNNAMED_OPERATOR: &str = "unnamed";
