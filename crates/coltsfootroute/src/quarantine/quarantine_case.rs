//! What is held of one request.

use std::time::Duration;

use super::RequestFingerprint;
use crate::time::MonotonicTime;

value_type! {
    /// Counts the changes of a case: odd while the request is held back, even once it has been let go. Of two terms of one
    /// case the higher holds, whoever tells it and in whatever order, so that nodes that learn of both agree.
    #[derive(Default, serde::Serialize, serde::Deserialize)]
    #[serde(transparent)]
    pub struct CaseTerm(pub u32);
}

impl CaseTerm {
    /// Whether the request is held back.
    pub fn is_held(self) -> bool {
        self.0 % 2 == 1
    }

    /// The term after this one.
    pub fn next(self) -> Self {
        Self(self.0.saturating_add(1))
    }
}

record_type! {
    /// A case as nodes tell each other.
    pub struct CaseNote {
        /// The request.
        pub fingerprint: RequestFingerprint,
        /// The case's last change.
        pub term: CaseTerm,
        /// How long ago it was.
        pub age: Duration,
    }
}

/// A case as the register keeps it.
#[derive(Clone, Copy, Debug)]
pub(super) struct QuarantineCase {
    pub(super) term: CaseTerm,
    /// When it changed last.
    pub(super) since: MonotonicTime,
    /// From when on a trial may be asked for; `None` once it has been spent.
    pub(super) trial_at: Option<MonotonicTime>,
}
