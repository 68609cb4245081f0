//! Answer of a run.

use super::AnswerHeader;

record_type! {
    /// A complete answer of the upstream, with its body in memory.
    pub struct RunAnswer {
        /// HTTP status.
        pub status: u16,
        /// Headers to replay.
        pub headers: Vec<AnswerHeader>,
        /// Whole body.
        pub body: Vec<u8>,
    }
}
