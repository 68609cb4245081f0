//! Updates on crashed upstreams, exchanged between nodes.

use std::time::Duration;

use super::{CaseNote, CrashReport, RequestFingerprint};

record_type! {
    /// Answer of an upstream to a suspected request.
    pub struct AnswerNote {
        /// The request.
        pub fingerprint: RequestFingerprint,
        /// Time since the answer.
        pub age: Duration,
    }
}

record_type! {
    /// Update on crashed upstreams, exchanged between nodes. Merging an update is idempotent.
    #[derive(Default)]
    pub struct QuarantineUpdate {
        /// Crashes of upstreams.
        pub crashes: Vec<CrashReport>,
        /// Suspected requests that were answered.
        pub answers: Vec<AnswerNote>,
        /// Requests that are or were quarantined.
        pub cases: Vec<CaseNote>,
    }
}

impl QuarantineUpdate {
    /// Returns whether the update contains nothing.
    pub fn is_empty(&self) -> bool {
        self.crashes.is_empty() && self.answers.is_empty() && self.cases.is_empty()
    }

    /// Returns the size of the payload between nodes, in bytes.
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
