//! Settings of a drain.

use std::time::Duration;

use super::ListenerKind;

record_type! {
    /// Settings of a [`DrainState`](super::DrainState).
    pub struct DrainSettings {
        /// Shortest duration of the drain, during which callers are notified of it, even if no work is in flight.
        pub notice: Duration,
        /// Time after which the remaining work in flight is reported.
        pub report_after: Duration,
        /// Time for which an idle client connection stays open, so that a request already on its way is
        /// answered instead of failing on a closed connection.
        pub client_idle: Duration,
        /// Time for which an idle connection of the upstream on the same host stays open.
        pub host_idle: Duration,
        /// Time for which an idle connection of another node stays open.
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
    /// Sets the shortest duration of the drain, during which callers are notified of it.
    pub fn with_notice(mut self, notice: Duration) -> Self {
        self.notice = notice;
        self
    }

    /// Sets the time after which the remaining work in flight is reported.
    pub fn with_report_after(mut self, report_after: Duration) -> Self {
        self.report_after = report_after;
        self
    }

    /// Returns the time for which an idle connection of `listener` stays open during a drain.
    pub fn idle_grace(&self, listener: ListenerKind) -> Duration {
        match listener {
            ListenerKind::Client => self.client_idle,
            ListenerKind::Host => self.host_idle,
            ListenerKind::Peer => self.peer_idle,
        }
    }
}
