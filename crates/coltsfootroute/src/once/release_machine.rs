//! The state machine that releases a claim.

use super::{
    ClaimId, ClaimRecord,
    claim_refusal::ClaimEffect,
    row_view::{self, RowView},
};
use crate::table::{RowKey, RowVersion, TableReply, TableRequest};

record_type! {
    /// Makes sure that a claim that never led to a dispatch neither stands in the table nor can still
    /// appear there.
    ///
    /// It writes [`ClaimRecord::Free`] over the own claim, or over whatever the claim's late write waits
    /// for; that write raises the version, so the late one can't take effect. The row isn't deleted:
    /// its version would start again at 1, and a late write would reply_to its condition.
    pub struct ReleaseMachine {
        claim_id: ClaimId,
        row_key: RowKey,
        /// What the claim was written on; `None` for no row.
        base: Option<RowVersion>,
    }
}

/// What to do next for a release.
#[derive(Debug, PartialEq, Eq)]
pub enum ReleaseStep {
    /// Send this request and give its reply back.
    Send(TableRequest),
    /// The store didn't answer: start again later.
    Retry,
    /// The claim is gone for good.
    Released,
}

impl ReleaseMachine {
    pub(super) fn new(claim_id: ClaimId, row_key: RowKey, base: Option<RowVersion>) -> Self {
        Self { claim_id, row_key, base }
    }

    /// The release that `effect` asks for, if any.
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

    /// The first request of a round.
    pub fn start(&self) -> TableRequest {
        TableRequest::Read(self.row_key.clone())
    }

    /// Takes the reply to the last request.
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
            // The row has moved past the base: the claim's write can't take effect any more.
            RowView::Present(..) | RowView::Unreadable => ReleaseStep::Released,
        }
    }

    fn write_free(&self, base: Option<RowVersion>) -> ReleaseStep {
        ReleaseStep::Send(row_view::write(&self.row_key, base, &ClaimRecord::Free))
    }
}
