//! Requests of one importance.

use coltsfootroute::outcome::CallOutcome;

/// Counts of client requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct ImportanceTally {
    /// Became due.
    pub offered: u64,
    /// Ended with their complete answer.
    pub completed: u64,
    /// Ended with every attempt refused, none run.
    pub refused_not_run: u64,
    /// Ended otherwise.
    pub unknown: u64,
}

impl ImportanceTally {
    /// Counts the end of a request.
    pub(super) fn count(&mut self, outcome: CallOutcome) {
        match outcome {
            CallOutcome::Completed => self.completed += 1,
            CallOutcome::NotRun => self.refused_not_run += 1,
            CallOutcome::Unknown => self.unknown += 1,
        }
    }
}
