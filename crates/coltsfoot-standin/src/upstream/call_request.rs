//! A call as received.

use std::time::{Duration, Instant};

use bytes::Bytes;
use coltsfootroute::constants::{CONTEXT_HEADER, DEADLINE_HEADER, IDEMPOTENCY_KEY_HEADER};
use http::{HeaderMap, HeaderValue};

/// What a run needs to know of the call that caused it.
#[derive(Debug)]
pub(super) struct CallRequest {
    /// Operation called.
    pub(super) operation: String,
    /// Idempotency key, where one was sent.
    pub(super) key: Option<String>,
    /// Context to copy to nested calls.
    pub(super) context: Option<HeaderValue>,
    /// When the caller gives up.
    pub(super) deadline: Option<Instant>,
    /// Body.
    pub(super) body: Bytes,
}

impl CallRequest {
    /// Reads the headers of a call of `operation`.
    pub(super) fn new(operation: String, headers: &HeaderMap, body: Bytes) -> Self {
        let text = |name| headers.get(name).and_then(|value| value.to_str().ok());
        let remaining = text(DEADLINE_HEADER).and_then(|digits| digits.parse().ok());
        Self {
            operation,
            key: text(IDEMPOTENCY_KEY_HEADER).map(str::to_owned),
            context: headers.get(CONTEXT_HEADER).cloned(),
            deadline: remaining.map(|ms| Instant::now() + Duration::from_millis(ms)),
            body,
        }
    }

    /// Time left; `None` without a deadline.
    pub(super) fn remaining(&self) -> Option<Duration> {
        self.deadline.map(|deadline| deadline.saturating_duration_since(Instant::now()))
    }
}
