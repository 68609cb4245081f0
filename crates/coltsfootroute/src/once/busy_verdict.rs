//! What to do with a repeat whose key another attempt holds.

use super::{HolderAnswer, HolderView};
use crate::outcome::CallOutcome;

value_type! {
    /// What to do with a request that met [`ClaimResult::Busy`](super::ClaimResult::Busy).
    pub enum BusyVerdict {
        /// The row has moved on or is about to: begin again, within the deadline.
        Retry,
        /// Refuse with this outcome.
        Refuse(CallOutcome),
    }
}

impl BusyVerdict {
    /// Judges by what was learnt of the holder. No answer lets another guard run the key: only the
    /// holder's own release, seen in the table, does.
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
