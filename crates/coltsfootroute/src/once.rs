//! At-most-once execution of operations that must not be repeated.
//!
//! The guard beside the upstream claims an idempotency key by a conditional write immediately before
//! dispatch, and dispatches only with the [`ClaimTicket`] that the claim returns. No other node takes over
//! a claim to run its request again; only the holder may release it, and only if it never dispatched.
//! Rows are never deleted, so the version of a row only increases and fences off every delayed write.

mod answer_body;
mod answer_header;
mod answer_machine;
mod body_digest;
mod busy_verdict;
mod claim_details;
mod claim_holder;
mod claim_id;
mod claim_machine;
mod claim_record;
mod claim_refusal;
mod claim_result;
mod claim_run;
mod claim_step;
mod claim_ticket;
mod client_key;
mod dispatch_verdict;
mod hex_text;
mod holder_answer;
mod holder_view;
mod once_call;
mod once_guard;
mod once_key;
mod once_settings;
mod open_claim;
mod record_sweeper;
mod release_machine;
mod row_view;
mod run_answer;
mod store_task;
mod stored_answer;
mod sweep_step;
mod wall_time;

pub use answer_body::AnswerBody;
pub use answer_header::AnswerHeader;
pub use body_digest::BodyDigest;
pub use busy_verdict::BusyVerdict;
pub use claim_details::ClaimDetails;
pub use claim_holder::ClaimHolder;
pub use claim_id::ClaimId;
pub use claim_record::ClaimRecord;
pub use claim_refusal::ClaimRefusal;
pub use claim_result::ClaimResult;
pub use claim_run::ClaimRun;
pub use claim_step::ClaimStep;
pub use claim_ticket::ClaimTicket;
pub use client_key::ClientKey;
pub use dispatch_verdict::DispatchVerdict;
pub use holder_answer::HolderAnswer;
pub use holder_view::HolderView;
pub use once_call::OnceCall;
pub use once_guard::OnceGuard;
pub use once_key::OnceKey;
pub use once_settings::OnceSettings;
pub use record_sweeper::RecordSweeper;
pub use run_answer::RunAnswer;
pub use store_task::{StoreTask, TaskReply, TaskRequest};
pub use stored_answer::StoredAnswer;
pub use sweep_step::SweepStep;
pub use wall_time::WallTime;
