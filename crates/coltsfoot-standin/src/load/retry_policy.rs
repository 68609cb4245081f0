//! How clients retry.

/// What a client does after a failure.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RetryPolicy {
    /// Attempts after the first one.
    pub max_retries: u32,
    /// Whether it waits as long as `retry-after` asks; if not, it retries at once.
    pub respect_retry_after: bool,
}
