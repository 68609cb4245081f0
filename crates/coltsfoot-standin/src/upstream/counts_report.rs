//! What an upstream counted.

/// Body of `GET /counts`.
#[derive(Clone, Debug, Default, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct CountsReport {
    /// Runs started.
    pub runs: u64,
    /// Runs at work now.
    pub running: u64,
    /// Calls that wait for a slot now.
    pub queued: u64,
    /// Runs that ended with a complete answer.
    pub completed: u64,
    /// Runs that ended in a failure.
    pub failed: u64,
    /// Runs stopped because the caller was gone or the deadline had passed.
    pub cancelled: u64,
    /// Calls shed without a run.
    pub shed: u64,
    /// Runs started after the upstream had announced its leave.
    pub runs_after_leave: u64,
    /// Most runs under one idempotency key of a non-repeatable operation.
    pub max_runs_per_key: u32,
    /// Keys of non-repeatable operations that ran more than once, at most
    /// [`CountsReport::MAX_LISTED`] of them.
    pub double_runs: Vec<String>,
    /// Number of such keys.
    pub double_run_keys: u64,
    /// Service time spent, over all runs, milliseconds; waiting for nested calls is not in it.
    pub service_ms: u64,
    /// Time from start to stop of cancelled runs, milliseconds.
    pub wasted_ms: u64,
}

impl CountsReport {
    /// Most keys that [`CountsReport::double_runs`] lists.
    pub const MAX_LISTED: usize = 100;
}
