//! Interrupted calls, kept until it is known whether their upstream crashed.

use std::{net::SocketAddr, time::Duration};

use coltsfootroute::{
    id::RequestId,
    membership::InstanceIncarnation,
    quarantine::{CrashId, MAX_SUSPECTS, RequestFingerprint},
    time::MonotonicTime,
};

/// Time after an interrupted call within which the announcement of another incarnation proves that the previous one
/// crashed.
const RESTART_WINDOW: Duration = Duration::from_secs(10);

/// A call whose connection broke before the answer was complete.
#[derive(Clone, Copy, Debug)]
pub(super) struct InterruptedCall {
    pub(super) request: RequestId,
    pub(super) fingerprint: RequestFingerprint,
    /// Whether this node has recently seen an answer to the same request.
    pub(super) answered: bool,
}

/// Calls to one incarnation of the upstream that were interrupted at about the same time.
#[derive(Clone, Debug)]
pub(super) struct InterruptedCalls {
    /// Identity of the crash, should the upstream prove to have crashed.
    pub(super) crash: CrashId,
    /// Address at which the upstream listened.
    pub(super) address: SocketAddr,
    /// Incarnation of the upstream, if it names its instances.
    pub(super) instance: Option<InstanceIncarnation>,
    /// Time of the first interruption.
    pub(super) since: MonotonicTime,
    /// The calls to report as suspects. Invariant: at most [`MAX_SUSPECTS`].
    pub(super) calls: Vec<InterruptedCall>,
    /// Number of all interrupted calls, including those beyond [`MAX_SUSPECTS`].
    pub(super) count: u32,
    /// Whether the upstream is known to have crashed.
    pub(super) has_crashed: bool,
}

impl InterruptedCalls {
    /// Returns whether the calls were interrupted at another incarnation than `instance`, which announces itself at
    /// `now`, and within [`RESTART_WINDOW`] before.
    pub(super) fn precede(
        &self,
        instance: Option<&InstanceIncarnation>,
        now: MonotonicTime,
    ) -> bool {
        self.instance.as_ref() != instance && now.since(self.since) <= RESTART_WINDOW
    }

    /// Adds a call; returns whether it is among the calls to report.
    pub(super) fn add(&mut self, call: InterruptedCall) -> bool {
        self.count += 1;
        let is_reported = self.calls.len() < MAX_SUSPECTS;
        if is_reported {
            self.calls.push(call);
        }
        is_reported
    }
}
