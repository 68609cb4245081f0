//! Whether an upstream has fallen silent.

use std::time::Duration;

use crate::time::MonotonicTime;

/// An upstream that has not repeated its announcement for so long is taken as gone.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_secs(5);

/// Whether an upstream has fallen silent.
#[derive(Clone, Copy, Debug)]
pub struct HeartbeatWatch {
    /// From when on silence counts.
    last_heartbeat: MonotonicTime,
}

impl HeartbeatWatch {
    /// An upstream that was heard `now`.
    pub fn new(now: MonotonicTime) -> Self {
        Self { last_heartbeat: now }
    }

    /// A heartbeat has come.
    pub fn note_heartbeat(&mut self, now: MonotonicTime) {
        self.last_heartbeat = now;
    }

    /// The host was suspended until `now`. Its upstream could not be heard meanwhile, and may be as sound as before:
    /// without this each host that wakes takes its upstream out for up to a heartbeat.
    pub fn note_suspension(&mut self, now: MonotonicTime) {
        self.note_heartbeat(now);
    }

    /// Whether the upstream has been silent for too long.
    pub fn is_silent(&self, now: MonotonicTime) -> bool {
        now.since(self.last_heartbeat) > HEARTBEAT_TIMEOUT
    }
}
