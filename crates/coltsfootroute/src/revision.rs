//! Configuration revisions: submission, history and propagation between nodes.
//!
//! The whole schema has one revision number, which increases by 1 with each accepted submission. A
//! [`Submission`] writes the new revision to the table service in one transaction. A [`ConfigState`] holds the
//! configuration in force on one node and sends changes to other nodes as a [`ConfigDelta`]. The records of
//! all revisions form a hash chain that [`verify_history`] checks.

mod apply_outcome;
mod chain_digest;
mod changed_names;
mod config_delta;
mod config_entry;
mod config_state;
mod conflict_body;
mod content_digest;
mod delta_fault;
mod digest_macros;
mod document_body;
mod entry_change;
mod failure_body;
mod head_reader;
mod head_row;
mod history_check;
mod history_fault;
mod history_reader;
mod history_record;
mod in_force_record;
mod key_row;
mod pull_plan;
mod reader_step;
mod recent_history;
mod revision_draft;
mod revision_number;
mod revision_record;
mod revision_row;
mod row_fault;
mod schema_rows;
mod start_gate;
mod submission;
mod submission_key;
mod submission_request;
mod submission_result;
mod submission_step;

pub use apply_outcome::ApplyOutcome;
pub use chain_digest::ChainDigest;
pub use config_delta::ConfigDelta;
pub use config_entry::ConfigEntry;
pub use config_state::{ConfigState, MAX_TOMBSTONES};
pub use conflict_body::ConflictBody;
pub use content_digest::ContentDigest;
pub use delta_fault::DeltaFault;
pub(crate) use digest_macros::digest_bytes;
pub use document_body::DocumentBody;
pub use entry_change::EntryChange;
pub use failure_body::FailureBody;
pub use head_reader::HeadReader;
pub use head_row::HeadRow;
pub use history_check::{verify_history, verify_segment};
pub use history_fault::HistoryFault;
pub use history_reader::HistoryReader;
pub use history_record::HistoryRecord;
pub use in_force_record::InForceRecord;
pub use key_row::KeyRow;
pub use pull_plan::PullPlan;
pub use reader_step::ReaderStep;
pub use recent_history::RecentHistory;
pub use revision_draft::RevisionDraft;
pub use revision_number::Revision;
pub use revision_record::RevisionRecord;
pub use revision_row::RevisionRow;
pub use row_fault::RowFault;
pub use start_gate::StartGate;
pub use submission::{MAX_ATTEMPTS, Submission};
pub use submission_key::SubmissionKey;
pub use submission_request::SubmissionRequest;
pub use submission_result::SubmissionResult;
pub use submission_step::SubmissionStep;

/// Request header that names the operator on whose behalf a submission is made.
pub const OPERATOR_HEADER: &str = "coltsfoot-operator";
