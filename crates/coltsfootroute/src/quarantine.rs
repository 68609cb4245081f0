//! Requests that end the upstreams that run them: what makes two requests the same, and what is known of each.

mod crash_id;
mod request_fingerprint;

pub use crash_id::CrashId;
pub use request_fingerprint::{FingerprintParts, RequestFingerprint};
