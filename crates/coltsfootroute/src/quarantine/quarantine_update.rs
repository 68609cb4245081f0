//! What nodes tell each other of ended upstreams.

use std::time::Duration;

use super::{CaseNote, CrashReport, RequestFingerprint};

record_type! {
    /// An upstream has answered a request that was suspected.
    pub struct AnswerNote {
        /// The request.
        pub fingerprint: RequestFingerprint,
        /// How long ago it was.
        pub age: Duration,
    }
}

record_type! {
    /// What nodes tell each other of ended upstreams. Merging the same update twice changes nothing.
    #[derive(Default)]
    pub struct QuarantineUpdate {
        /// Ends of upstreams.
        pub crashes: Vec<CrashReport>,
        /// Suspected requests that were answered.
        pub answers: Vec<AnswerNote>,
        /// Requests that are held back, or have been.
        pub cases: Vec<CaseNote>,
    }
}

impl QuarantineUpdate {
    /// Whether there is nothing to tell.
    pub fn is_empty(&self) -> bool {
        self.crashes.is_empty() && self.answers.is_empty() && self.cases.is_empty()
    }

    /// Payload between nodes, in bytes.
    pub fn wire_bytes(&self) -> usize {
        const CRASH: usize = 24;
        const SUSPECT: usize = 16;
        const NOTE: usize = 32;
        let suspects: usize = self.crashes.iter().map(|report| report.suspects.len()).sum();
        self.crashes.len() * CRASH
            + suspects * SUSPECT
            + (self.answers.len() + self.cases.len()) * NOTE
    }
}
