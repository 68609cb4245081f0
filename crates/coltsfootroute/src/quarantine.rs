//! Quarantine of requests that crash the upstreams that run them: fingerprints that identify equal requests, the
//! crashes in which each was involved, and the requests that are no longer forwarded.

mod answered_requests;
mod crash_id;
mod crash_report;
mod quarantine_case;
mod quarantine_register;
mod quarantine_row;
mod quarantine_update;
mod quarantine_verdict;
mod report_queue;
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
pub use report_queue::{REPORT_PERIOD, ReportQueue};
pub use request_fingerprint::{FingerprintParts, RequestFingerprint};

use suspect_record::SuspectRecord;
