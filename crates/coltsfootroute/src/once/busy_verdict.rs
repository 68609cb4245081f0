//! Decision on a repeat whose key another attempt has claimed.

use super::{HolderAnswer, HolderView};
use crate::outcome::CallOutcome;

value_type! {
    /// What to do with a request whose claim ended in [`ClaimResult::Busy`](super::ClaimResult::Busy).
    pub enum BusyVerdict {
        /// The row has changed or is about to: begin a new claim, within the deadline.
        Retry,
        /// Refuse with this outcome.
        Refuse(CallOutcome),
    }
}

impl BusyVerdict {
    /// Decides by the state of the holder. No answer of a holder allows another guard to run the request;
    /// only the holder's release, read from the table, does.
    pub fn of(view: HolderView) -> Self {
        match view {
            HolderView::Answered(HolderAnswer::NeverDispatched) => {
                Self::Refuse(CallOutcome::NotRun)
            }
            HolderView::Answered(HolderAnswer::NotMine | HolderAnswer::Finished) => Self::Retry,
            HolderView::Answered(HolderAnswer::Running)
            | HolderView::Ended
            | HolderView::Unreachable => Self::Refuse(CallOutcome::Unknown),
        }
    }
}
