//! Messages of the calls between nodes, as domain types.

mod call_reply;
mod call_request;
mod claim_state;
mod credit_grant;
mod header_line;
mod level_note;
mod quarantine_news;
mod request_head;
mod take_answer;
mod upstream_notice;

pub use call_reply::{CallReply, ReplyBody, is_final_status, whole_seconds};
pub use call_request::CallRequest;
pub use claim_state::{ClaimState, read_claim_state, write_claim_state};
pub use credit_grant::{read_credit_grant, write_credit_grant};
pub use header_line::HeaderLine;
pub use level_note::LevelNote;
pub use quarantine_news::{read_quarantine_news, write_quarantine_news};
pub use request_head::RequestHead;
pub use take_answer::{TakeAnswer, read_take_answer, write_take_answer};

pub use crate::address::{read_address, write_address};

use coltsfootroute::{id::RequestId, importance::Importance};

use crate::wire_error::WireError;

/// Upper and lower half of a 128-bit identity.
pub fn split_id(id: RequestId) -> (u64, u64) {
    ((id.0 >> 64) as u64, id.0 as u64)
}

/// Joins the halves of a 128-bit identity.
pub fn join_id(high: u64, low: u64) -> RequestId {
    RequestId((u128::from(high) << 64) | u128::from(low))
}

fn read_importance(index: u8) -> Result<Importance, WireError> {
    Importance::from_index(usize::from(index)).ok_or(WireError::OutOfRange { field: "importance" })
}
