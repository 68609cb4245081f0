//! What keeps non-repeatable work from running twice.

/// What keeps non-repeatable work from running twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RepeatGuard {
    /// The client's idempotency key, claimed in the table service before the run: also over repeats that
    /// the client sends itself.
    Claims,
    /// Each attempt of a client is a request of its own, which needs no key: the node never sends one again
    /// that may have run.
    Attempts,
}
