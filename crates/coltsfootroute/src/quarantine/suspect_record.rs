//! Crashes counted against one request.

use super::CrashId;

/// Crashes counted against one request.
#[derive(Clone, Debug, Default)]
pub(super) struct SuspectRecord {
    /// Crashes during which the request was in flight, each listed once.
    pub(super) crashes: Vec<CrashId>,
}

impl SuspectRecord {
    /// Adds a crash unless it is already listed. Returns the number of crashes.
    pub(super) fn add(&mut self, crash: CrashId) -> usize {
        if !self.crashes.contains(&crash) {
            self.crashes.push(crash);
        }
        self.crashes.len()
    }
}
