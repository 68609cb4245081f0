//! Calls that broke off, until it is known whether their upstream ended with them.

use std::net::SocketAddr;

use coltsfootroute::{
    id::RequestId,
    membership::InstanceName,
    quarantine::{CrashId, MAX_SUSPECTS, RequestFingerprint},
    time::MonotonicTime,
};

/// A call that broke off.
#[derive(Clone, Copy, Debug)]
pub(super) struct InterruptedCall {
    pub(super) request: RequestId,
    pub(super) fingerprint: RequestFingerprint,
    /// Whether the same request was answered here of late.
    pub(super) answered: bool,
}

/// Calls of one life of the upstream that broke off at about the same time.
#[derive(Clone, Debug)]
pub(super) struct InterruptedCalls {
    /// The end of the upstream, if it is one.
    pub(super) crash: CrashId,
    /// Where the upstream listened.
    pub(super) address: SocketAddr,
    /// Its life, if it names itself.
    pub(super) instance: Option<InstanceName>,
    /// When the first broke off.
    pub(super) since: MonotonicTime,
    /// The calls. Invariant: at most [`MAX_SUSPECTS`].
    pub(super) calls: Vec<InterruptedCall>,
    /// All of them, those left out too.
    pub(super) count: u32,
    /// Whether the upstream is known to have ended.
    pub(super) has_crashed: bool,
}

impl InterruptedCalls {
    /// Adds a call; returns whether it is among those told.
    pub(super) fn add(&mut self, call: InterruptedCall) -> bool {
        self.count += 1;
        let is_reported = self.calls.len() < MAX_SUSPECTS;
        if is_reported {
            self.calls.push(call);
        }
        is_reported
    }
}
