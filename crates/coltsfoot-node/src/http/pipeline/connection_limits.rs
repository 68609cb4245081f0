//! Bounds on one connection.

use std::time::Duration;

/// Bounds on one connection.
#[derive(Clone, Copy, Debug)]
pub struct ConnectionLimits {
    /// Most bytes of a head.
    pub head_bytes: usize,
    /// Most bytes of a body.
    pub body_bytes: usize,
    /// Time from the first byte of a request to its last.
    pub request_time: Duration,
    /// Time that a connection without a request is kept, and one whose client takes nothing of its answer.
    pub idle_time: Duration,
}
