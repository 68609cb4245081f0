//! Mechanisms that keep non-repeatable work from running twice.

/// Mechanism that keeps non-repeatable work from running twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RepeatGuard {
    /// The client's idempotency key is claimed in the table service before the run. This also covers repeats that the
    /// client sends itself.
    Claims,
    /// Each attempt of a client is a separate request and needs no key: the node never retries one that may have run.
    Attempts,
}
