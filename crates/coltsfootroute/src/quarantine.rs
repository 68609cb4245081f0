//! Requests that end the upstreams that run them: what makes two requests the same, what is known of each, and which are
//! not sent on any more.

mod answered_requests;
mod crash_id;
mod crash_report;
mod quarantine_case;
mod quarantine_register;
mod quarantine_row;
mod quarantine_update;
mod quarantine_verdict;
mod request_fingerprint;
mod suspect_record;

pub use answered_requests::AnsweredRequests;
pub use crash_id::CrashId;
pub use crash_report::{CrashReport, MAX_SUSPECTS};
pub use quarantine_case::{CaseNote, CaseTerm};
pub use quarantine_register::{QuarantineChange, QuarantineRegister};
pub use quarantine_row::{QuarantineRow, TrialClaim, trial_claim};
pub use quarantine_update::{AnswerNote, QuarantineUpdate};
pub use quarantine_verdict::QuarantineVerdict;
pub use request_fingerprint::{FingerprintParts, RequestFingerprint};

use suspect_record::SuspectRecord;
