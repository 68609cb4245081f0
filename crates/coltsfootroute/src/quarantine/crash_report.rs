//! Report of a guard on one crash of its upstream.

use std::time::Duration;

use super::{CrashId, RequestFingerprint};

/// Largest number of suspects named for one crash: 2 KB. An upstream with more slots can crash with more calls in
/// flight, but a crash with that many suspects is weak evidence against each of them.
pub const MAX_SUSPECTS: usize = 128;

record_type! {
    /// One crash of an upstream, and the requests that were in flight there.
    pub struct CrashReport {
        /// Identifier of the crash.
        pub crash: CrashId,
        /// Time since the crash. An age rather than a time, since nodes share no clock.
        pub age: Duration,
        /// Requests that were in flight and had not been answered there recently. Invariant: at most [`MAX_SUSPECTS`].
        pub suspects: Vec<RequestFingerprint>,
    }
}

impl CrashReport {
    /// Creates a report of a crash without suspects.
    pub fn new(crash: CrashId, age: Duration) -> Self {
        Self { crash, age, suspects: Vec::new() }
    }
}
