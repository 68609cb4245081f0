//! State machine that claims one key.

use super::{
    ClaimDetails, ClaimRecord, ClaimRefusal, ClaimResult, ClaimStep, ClaimTicket,
    claim_refusal::ClaimEffect,
    row_view::{self, RowView},
};
use crate::{
    outcome::RefusalReason,
    table::{RowKey, RowVersion, TableReply, TableRequest},
    time::MonotonicTime,
};

/// Claims one key. Each reply must answer the request that was returned last.
///
/// A write without an answer is resolved by reading the row and comparing its claim id with the id of
/// this claim. The same claim may then be written again: both writes have the same condition, and as
/// rows are never deleted, at most one of them can take effect.
#[derive(Debug, PartialEq, Eq)]
pub struct ClaimMachine {
    claim: ClaimDetails,
    row_key: RowKey,
    deadline: MonotonicTime,
    /// Version of the row that the claim overwrites; `None` if there is no row.
    base: Option<RowVersion>,
    /// Whether a write of the claim conditional on `base` may have taken effect or may still do so.
    is_in_doubt: bool,
    /// Number of requests that may still be sent.
    requests_left: u32,
}

/// Largest number of requests that one claim sends to the store.
const MAX_REQUESTS: u32 = 8;

impl ClaimMachine {
    /// Creates a machine that writes `claim` to `row_key` before `deadline`.
    pub fn new(claim: ClaimDetails, row_key: RowKey, deadline: MonotonicTime) -> Self {
        Self {
            claim,
            row_key,
            deadline,
            base: None,
            is_in_doubt: false,
            requests_left: MAX_REQUESTS,
        }
    }

    /// Returns the first request: a write that takes effect only if the key was never claimed.
    pub fn start(&mut self) -> TableRequest {
        self.write()
    }

    /// Handles the reply to the last request.
    pub fn on_reply(&mut self, reply: &TableReply, now: MonotonicTime) -> ClaimStep {
        match reply {
            TableReply::Committed => self.claimed_at(row_view::version_after(self.base), now),
            TableReply::Conflict(rows) | TableReply::Rows(rows) => {
                let view = RowView::of(&self.row_key, rows);
                self.on_row(view, now)
            }
            TableReply::Unavailable => self.refuse(RefusalReason::StoreUnavailable),
            TableReply::Uncertain => self.read_back(now),
        }
    }

    /// Returns what the claim may have written to the table if it is cancelled while a request is pending.
    pub(super) fn effect(&self) -> ClaimEffect {
        ClaimEffect::InDoubt(self.base)
    }

    fn on_row(&mut self, view: RowView, now: MonotonicTime) -> ClaimStep {
        match view {
            RowView::Absent => self.write_again(None, now),
            RowView::Present(version, ClaimRecord::Free) => self.write_again(Some(version), now),
            RowView::Present(version, ClaimRecord::Claimed(claim))
                if claim.claim_id == self.claim.claim_id =>
            {
                self.claimed_at(version, now)
            }
            // Any other record is at the base version or a later one, so that no write of this claim
            // can take effect any more.
            RowView::Present(_, record) => ClaimStep::Done(self.judge(record)),
            RowView::Unreadable => {
                self.is_in_doubt = false;
                self.refuse(RefusalReason::StoreUnavailable)
            }
        }
    }

    fn judge(&self, record: ClaimRecord) -> ClaimResult {
        if record.is_expired(self.claim.at) {
            return ClaimResult::Expired;
        }
        if record.claim().is_some_and(|claim| claim.body_digest != self.claim.body_digest) {
            return ClaimResult::Conflict;
        }
        match record {
            ClaimRecord::Finished { answer, .. } => ClaimResult::Replay(answer),
            ClaimRecord::Claimed(claim) if !self.claim.holder.succeeds(claim.holder) => {
                ClaimResult::Busy(claim)
            }
            // The previous incarnation of this node may have dispatched the request, and no node
            // knows whether it did.
            ClaimRecord::Claimed(_) | ClaimRecord::Interrupted(_) => ClaimResult::Interrupted,
            // Unreachable: the caller handles `Free`, and `is_expired` above handles `Expired`.
            ClaimRecord::Free | ClaimRecord::Expired => ClaimResult::Expired,
        }
    }

    /// Writes the claim again, conditional on the version `base` that the last reply contained.
    fn write_again(&mut self, base: Option<RowVersion>, now: MonotonicTime) -> ClaimStep {
        if base != self.base {
            // The row has another version now: earlier writes can't take effect any more.
            self.is_in_doubt = false;
        }
        self.base = base;
        if !self.may_send(now) {
            return self.refuse(self.stop_reason(now));
        }
        ClaimStep::Send(self.write())
    }

    fn read_back(&mut self, now: MonotonicTime) -> ClaimStep {
        self.is_in_doubt = true;
        if !self.may_send(now) {
            return self.refuse(self.stop_reason(now));
        }
        self.requests_left -= 1;
        ClaimStep::Send(TableRequest::Read(self.row_key.clone()))
    }

    fn write(&mut self) -> TableRequest {
        self.requests_left = self.requests_left.saturating_sub(1);
        row_view::write(&self.row_key, self.base, &ClaimRecord::Claimed(self.claim))
    }

    fn claimed_at(&self, version: RowVersion, now: MonotonicTime) -> ClaimStep {
        if now >= self.deadline {
            let effect = ClaimEffect::Stored(version);
            return done(ClaimRefusal::new(RefusalReason::Deadline, effect));
        }
        ClaimStep::Done(ClaimResult::Dispatch(ClaimTicket {
            claim_id: self.claim.claim_id,
            version,
            claimed_at: now,
            deadline: self.deadline,
        }))
    }

    fn refuse(&self, reason: RefusalReason) -> ClaimStep {
        let effect = if self.is_in_doubt { self.effect() } else { ClaimEffect::None };
        done(ClaimRefusal::new(reason, effect))
    }

    fn may_send(&self, now: MonotonicTime) -> bool {
        self.requests_left > 0 && now < self.deadline
    }

    fn stop_reason(&self, now: MonotonicTime) -> RefusalReason {
        if now >= self.deadline { RefusalReason::Deadline } else { RefusalReason::StoreUnavailable }
    }
}

fn done(refusal: ClaimRefusal) -> ClaimStep {
    ClaimStep::Done(ClaimResult::Refuse(refusal))
}
