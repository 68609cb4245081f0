//! A claim that is not settled yet.

use super::{
    ClaimDetails, HolderAnswer, OnceKey, answer_machine::AnswerMachine,
    claim_machine::ClaimMachine, release_machine::ReleaseMachine,
};
use crate::table::{RowKey, RowVersion};

/// A claim that this guard has begun and not settled.
#[derive(Debug, PartialEq, Eq)]
pub(super) struct OpenClaim {
    pub(super) key: OnceKey,
    pub(super) row_key: RowKey,
    pub(super) claim: ClaimDetails,
    pub(super) stage: ClaimStage,
}

/// Stage of a claim. A claim only moves to a stage further down in this list.
#[derive(Debug, PartialEq, Eq)]
#[expect(clippy::large_enum_variant, reason = "a boxed machine costs an allocation a call")]
pub(super) enum ClaimStage {
    /// The claim is being written.
    Claiming(ClaimMachine),
    /// Claimed and not dispatched; the claim is stored at this version.
    Ticketed(RowVersion),
    /// Dispatched; the claim is stored at this version.
    Running(RowVersion),
    /// The run has ended; its result is being stored.
    Storing(AnswerMachine),
    /// The request was not dispatched and never will be; the claim is being released.
    Releasing(ReleaseMachine),
}

impl OpenClaim {
    pub(super) fn is_ticketed(&self) -> bool {
        matches!(self.stage, ClaimStage::Ticketed(_))
    }

    pub(super) fn holder_answer(&self) -> HolderAnswer {
        match &self.stage {
            ClaimStage::Claiming(_) | ClaimStage::Ticketed(_) | ClaimStage::Running(_) => {
                HolderAnswer::Running
            }
            ClaimStage::Storing(_) => HolderAnswer::Finished,
            ClaimStage::Releasing(_) => HolderAnswer::NeverDispatched,
        }
    }
}
