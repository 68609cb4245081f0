//! Constants of the caller's protocol, shared by the daemons and the command line.

/// Request header: identifies a request that must not run twice.
pub const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";
/// Request header: remaining time in milliseconds.
pub const DEADLINE_HEADER: &str = "coltsfoot-deadline-ms";
/// Request header between node and upstream: opaque context of the client request.
pub const CONTEXT_HEADER: &str = "coltsfoot-context";
/// Request header between node and upstream: the team whose client request it is.
pub const TEAM_HEADER: &str = "coltsfoot-team";
/// Response header: the [`CallOutcome`](crate::outcome::CallOutcome).
pub const OUTCOME_HEADER: &str = "coltsfoot-outcome";
/// Response header of a refusal: whole seconds to wait, jittered.
pub const RETRY_AFTER_HEADER: &str = "retry-after";
/// Path prefix of calls: `/call/{service}/{operation}`.
pub const CALL_PATH_PREFIX: &str = "/call/";
/// Largest body of a call or an answer, in bytes.
pub const MAX_BODY_BYTES: usize = 1 << 20;
/// Longest idempotency key, in bytes.
pub const MAX_KEY_BYTES: usize = 128;
