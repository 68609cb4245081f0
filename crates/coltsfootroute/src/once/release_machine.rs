//! State machine that releases a claim.

use super::{
    ClaimId, ClaimRecord,
    claim_refusal::ClaimEffect,
    row_view::{self, RowView},
};
use crate::table::{RowKey, RowVersion, TableReply, TableRequest};

record_type! {
    /// Ensures that a claim that never led to a dispatch neither is in the table nor can still appear
    /// there.
    ///
    /// It overwrites the claim, or the row that a delayed write of the claim is conditional on, with
    /// [`ClaimRecord::Free`]. That write increases the version, so that the delayed write can't take
    /// effect. The row isn't deleted: its version would start again at 1, and the condition of a delayed
    /// write could hold again.
    pub struct ReleaseMachine {
        claim_id: ClaimId,
        row_key: RowKey,
        /// Version of the row that the claim was to overwrite; `None` if there was no row.
        base: Option<RowVersion>,
    }
}

/// Next step of a release.
#[derive(Debug, PartialEq, Eq)]
pub enum ReleaseStep {
    /// Send this request and pass its reply to [`ReleaseMachine::on_reply`].
    Send(TableRequest),
    /// The store didn't answer; the release starts again after a delay.
    Retry,
    /// The claim is neither in the table nor can it appear there any more.
    Released,
}

impl ReleaseMachine {
    pub(super) fn new(claim_id: ClaimId, row_key: RowKey, base: Option<RowVersion>) -> Self {
        Self { claim_id, row_key, base }
    }

    /// Creates the release that `effect` requires; `None` if the claim wrote nothing.
    pub(super) fn for_effect(
        claim_id: ClaimId,
        row_key: RowKey,
        effect: ClaimEffect,
    ) -> Option<Self> {
        match effect {
            ClaimEffect::None => None,
            ClaimEffect::InDoubt(base) => Some(Self::new(claim_id, row_key, base)),
            ClaimEffect::Stored(version) => {
                let base = RowVersion(version.0 - 1);
                Some(Self::new(claim_id, row_key, (base.0 > 0).then_some(base)))
            }
        }
    }

    /// Returns the first request of an attempt.
    pub fn start(&self) -> TableRequest {
        TableRequest::Read(self.row_key.clone())
    }

    /// Handles the reply to the last request.
    pub fn on_reply(&self, reply: &TableReply) -> ReleaseStep {
        match reply {
            TableReply::Committed => ReleaseStep::Released,
            TableReply::Rows(rows) | TableReply::Conflict(rows) => {
                self.on_row(RowView::of(&self.row_key, rows))
            }
            TableReply::Unavailable | TableReply::Uncertain => ReleaseStep::Retry,
        }
    }

    fn on_row(&self, view: RowView) -> ReleaseStep {
        match view {
            RowView::Absent => self.write_free(None),
            RowView::Present(version, ClaimRecord::Claimed(claim))
                if claim.claim_id == self.claim_id =>
            {
                self.write_free(Some(version))
            }
            RowView::Present(version, ClaimRecord::Free) if Some(version) == self.base => {
                self.write_free(Some(version))
            }
            // The row is at a later version than the base: the claim's write can't take effect any more.
            RowView::Present(..) | RowView::Unreadable => ReleaseStep::Released,
        }
    }

    fn write_free(&self, base: Option<RowVersion>) -> ReleaseStep {
        ReleaseStep::Send(row_view::write(&self.row_key, base, &ClaimRecord::Free))
    }
}
