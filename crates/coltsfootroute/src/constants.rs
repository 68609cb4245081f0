//! Constants of the protocol with callers, shared by the daemons and the command line.

/// Request header with the key of a request that must not run twice.
pub const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";
/// Request header with the remaining time until the deadline, in milliseconds.
pub const DEADLINE_HEADER: &str = "coltsfoot-deadline-ms";
/// Request header between node and upstream with the opaque context of the client request.
pub const CONTEXT_HEADER: &str = "coltsfoot-context";
/// Request header between node and upstream with the team that sent the client request.
pub const TEAM_HEADER: &str = "coltsfoot-team";
/// Response header with the [`CallOutcome`](crate::outcome::CallOutcome).
pub const OUTCOME_HEADER: &str = "coltsfoot-outcome";
/// Response header of an upstream with the requests per second that it accepts from all callers together, for as long as
/// its answers name it.
pub const LIMIT_HEADER: &str = "coltsfoot-limit";
/// Response header of a refusal with the time to wait before a retry, in whole seconds, with jitter.
pub const RETRY_AFTER_HEADER: &str = "retry-after";
/// Path prefix of calls, which have the path `/call/{service}/{operation}`.
pub const CALL_PATH_PREFIX: &str = "/call/";
/// Largest size of the body of a call or a response, in bytes.
pub const MAX_BODY_BYTES: usize = 1 << 20;
/// Largest length of an idempotency key, in bytes.
pub const MAX_KEY_BYTES: usize = 128;
