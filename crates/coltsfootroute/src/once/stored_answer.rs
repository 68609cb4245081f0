//! An answer as stored.

use super::{AnswerBody, AnswerHeader};

record_type! {
    /// The complete answer of a finished run, as repeats of the request get it.
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
