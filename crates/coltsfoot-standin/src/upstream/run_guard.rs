//! A run at work.

use std::{sync::Arc, time::Instant};

use super::upstream_state::UpstreamState;

/// Counts a run from its start; dropped before [`RunGuard::end`], the run counts as cancelled.
pub(super) struct RunGuard {
    state: Arc<UpstreamState>,
    started: Instant,
    ended: bool,
}

impl RunGuard {
    /// A run starts now.
    pub(super) fn new(state: &Arc<UpstreamState>, operation: &str, key: Option<&str>) -> Self {
        state.counts().start_run(operation, key, state.is_leaving());
        Self { state: Arc::clone(state), started: Instant::now(), ended: false }
    }

    /// The run has its answer.
    pub(super) fn end(mut self, completed: bool) {
        self.ended = true;
        self.state.counts().end_run(completed);
    }
}

impl Drop for RunGuard {
    fn drop(&mut self) {
        if !self.ended {
            self.state.counts().cancel_run(self.started.elapsed());
        }
    }
}
