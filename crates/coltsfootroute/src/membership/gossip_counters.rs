//! Counters of the messages that the engine sent.

use super::GossipKind;

/// Messages and bytes sent since the start, by kind; bytes include the IP and UDP headers.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct GossipCounters {
    messages: [u64; GossipKind::ALL.len()],
    bytes: [u64; GossipKind::ALL.len()],
    /// Sends deferred because the bandwidth budget was used up.
    pub deferred: u64,
    /// Sends dropped because neither the bandwidth budget nor the outbox had room.
    pub dropped: u64,
}

impl GossipCounters {
    /// Counts one datagram of `kind` and of `bytes` bytes.
    pub fn count(&mut self, kind: GossipKind, bytes: u64) {
        self.messages[kind as usize] += 1;
        self.bytes[kind as usize] += bytes;
    }

    /// Returns the number of datagrams of `kind` sent.
    pub fn messages(&self, kind: GossipKind) -> u64 {
        self.messages[kind as usize]
    }

    /// Returns the number of bytes sent in datagrams of `kind`.
    pub fn bytes(&self, kind: GossipKind) -> u64 {
        self.bytes[kind as usize]
    }

    /// Returns the number of bytes sent in datagrams of all kinds.
    pub fn total_bytes(&self) -> u64 {
        self.bytes.iter().sum()
    }
}
