//! Answer as stored in a record.

use super::{AnswerBody, AnswerHeader};

record_type! {
    /// Complete answer of a finished run, replayed to repeats of the request.
    #[derive(serde::Serialize, serde::Deserialize)]
    #[serde(deny_unknown_fields)]
    pub struct StoredAnswer {
        /// HTTP status of the upstream's answer.
        pub status: u16,
        /// Headers replayed with it.
        #[serde(default, skip_serializing_if = "Vec::is_empty")]
        pub headers: Vec<AnswerHeader>,
        /// Body.
        pub body: AnswerBody,
    }
}
