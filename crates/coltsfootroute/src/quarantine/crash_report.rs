//! One end of an upstream, as the guard beside it tells of it.

use std::time::Duration;

use super::{CrashId, RequestFingerprint};

/// Suspects named for one end at most: 2 KB. An upstream with more slots ends with more calls under way, but an end with so
/// many suspects says little of each.
pub const MAX_SUSPECTS: usize = 128;

record_type! {
    /// One end of an upstream, and which requests were under way there.
    pub struct CrashReport {
        /// The end.
        pub crash: CrashId,
        /// How long ago it was: nodes share no clock.
        pub age: Duration,
        /// What was under way and had not been answered there of late. Invariant: at most [`MAX_SUSPECTS`].
        pub suspects: Vec<RequestFingerprint>,
    }
}

impl CrashReport {
    /// An end with nothing under way.
    pub fn new(crash: CrashId, age: Duration) -> Self {
        Self { crash, age, suspects: Vec::new() }
    }
}
