//! What an upstream answers to a call.

/// Body of an upstream's answer, by which a caller checks that it is complete and its own.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct CallAnswer {
    /// Service that ran the call.
    pub service: String,
    /// Operation that ran.
    pub operation: String,
    /// Idempotency key of the call, where it had one.
    pub key: Option<String>,
    /// Digest of the call's body.
    pub body_digest: String,
    /// Service time of this run and of all runs nested in it, microseconds.
    pub work_us: u64,
}
