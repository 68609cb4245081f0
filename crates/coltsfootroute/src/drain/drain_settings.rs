//! Settings of a leave.

use std::time::Duration;

use super::ListenerKind;

record_type! {
    /// Settings of a [`DrainState`](super::DrainState).
    pub struct DrainSettings {
        /// How long callers get to learn of the leave, however little is in flight.
        pub notice: Duration,
        /// Time after which what is left is reported.
        pub report_after: Duration,
        /// How long an idle connection of a client stays open, so that a request already on its way is
        /// answered rather than cut off.
        pub client_idle: Duration,
        /// The same for the upstream beside the node.
        pub host_idle: Duration,
        /// The same for other nodes.
        pub peer_idle: Duration,
    }
}

impl Default for DrainSettings {
    fn default() -> Self {
        Self {
            notice: Duration::from_secs(2),
            report_after: Duration::from_secs(30),
            client_idle: Duration::from_millis(500),
            host_idle: Duration::from_millis(200),
            peer_idle: Duration::from_secs(1),
        }
    }
}

impl DrainSettings {
    /// Sets how long callers get to learn of the leave.
    pub fn with_notice(mut self, notice: Duration) -> Self {
        self.notice = notice;
        self
    }

    /// Sets the time after which what is left is reported.
    pub fn with_report_after(mut self, report_after: Duration) -> Self {
        self.report_after = report_after;
        self
    }

    /// How long an idle connection of `listener` stays open during a leave.
    pub fn idle_grace(&self, listener: ListenerKind) -> Duration {
        match listener {
            ListenerKind::Client => self.client_idle,
            ListenerKind::Host => self.host_idle,
            ListenerKind::Peer => self.peer_idle,
        }
    }
}
