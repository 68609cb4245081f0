//! What speaks against one request.

use super::CrashId;

/// What speaks against one request.
#[derive(Clone, Debug, Default)]
pub(super) struct SuspectRecord {
    /// Ends of upstreams at which it was under way, each once.
    pub(super) crashes: Vec<CrashId>,
}

impl SuspectRecord {
    /// Adds an end; returns how many there are.
    pub(super) fn add(&mut self, crash: CrashId) -> usize {
        if !self.crashes.contains(&crash) {
            self.crashes.push(crash);
        }
        self.crashes.len()
    }
}
