//! Case of one quarantined or released request.

use std::time::Duration;

use super::RequestFingerprint;
use crate::time::MonotonicTime;

value_type! {
    /// Number of changes of a case: odd while the request is quarantined, even once it has been released. Of two terms
    /// of one case the higher one applies, whichever node sends it and in whatever order, so that nodes that receive
    /// both agree.
    #[derive(Default, serde::Serialize, serde::Deserialize)]
    #[serde(transparent)]
    pub struct CaseTerm(pub u32);
}

impl CaseTerm {
    /// Returns whether the request is quarantined.
    pub fn is_held(self) -> bool {
        self.0 % 2 == 1
    }

    /// Returns the next term.
    pub fn next(self) -> Self {
        Self(self.0.saturating_add(1))
    }
}

record_type! {
    /// A case as exchanged between nodes.
    pub struct CaseNote {
        /// The request.
        pub fingerprint: RequestFingerprint,
        /// Term that began with the case's last change.
        pub term: CaseTerm,
        /// Time since that change.
        pub age: Duration,
    }
}

/// A case as stored in the register.
#[derive(Clone, Copy, Debug)]
pub(super) struct QuarantineCase {
    pub(super) term: CaseTerm,
    /// Time of the last change.
    pub(super) since: MonotonicTime,
    /// Time from which a trial may be claimed; `None` once the trial has been used.
    pub(super) trial_at: Option<MonotonicTime>,
}
