//! Detection of an upstream whose heartbeats have stopped.

use std::time::Duration;

use crate::time::MonotonicTime;

/// Time without a heartbeat after which an upstream counts as gone.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_secs(5);

/// Tracks whether the heartbeats of an upstream have stopped.
#[derive(Clone, Copy, Debug)]
pub struct HeartbeatWatch {
    /// Time of the last heartbeat, or of the end of a later suspension of the host.
    last_heartbeat: MonotonicTime,
}

impl HeartbeatWatch {
    /// Creates a watch of an upstream that sent a heartbeat at `now`.
    pub fn new(now: MonotonicTime) -> Self {
        Self { last_heartbeat: now }
    }

    /// Notes a heartbeat.
    pub fn note_heartbeat(&mut self, now: MonotonicTime) {
        self.last_heartbeat = now;
    }

    /// Notes that the host was suspended until `now`. The upstream could not send heartbeats meanwhile and may still be
    /// healthy. Without this, each host that resumes would deregister its upstream until the next heartbeat.
    pub fn note_suspension(&mut self, now: MonotonicTime) {
        self.note_heartbeat(now);
    }

    /// Whether the upstream has sent no heartbeat for longer than the timeout.
    pub fn is_silent(&self, now: MonotonicTime) -> bool {
        now.since(self.last_heartbeat) > HEARTBEAT_TIMEOUT
    }
}
