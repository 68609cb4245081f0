//! Outcome of a call.

use std::str::FromStr;

value_type! {
    /// Whether the request that a caller sent has run. The outcome concerns only that request: if a
    /// nested call has [`CallOutcome::NotRun`], its parent may have run.
    #[derive(serde::Serialize, serde::Deserialize)]
    #[serde(rename_all = "kebab-case")]
    pub enum CallOutcome {
        /// The request ran and the response is complete.
        Completed,
        /// No part of the request ran on any upstream.
        NotRun,
        /// The request may have run completely or in part.
        Unknown,
    }
}

impl CallOutcome {
    /// Returns the value of the outcome in the `coltsfoot-outcome` header.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Completed => "completed",
            Self::NotRun => "not-run",
            Self::Unknown => "unknown",
        }
    }
}

display_as_str!(CallOutcome);

impl FromStr for CallOutcome {
    type Err = UnknownOutcome;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        [Self::Completed, Self::NotRun, Self::Unknown]
            .into_iter()
            .find(|outcome| outcome.as_str() == text)
            .ok_or_else(|| UnknownOutcome(text.to_owned()))
    }
}

/// Error for a text that is not the name of an outcome.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("unknown outcome `{0}`: expected completed, not-run or unknown")]
pub struct UnknownOutcome(pub String);
