//! Counts of what the engine sent.

use super::GossipKind;

/// Messages and bytes by kind since the start; bytes include the IP and UDP headers.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct GossipCounters {
    messages: [u64; GossipKind::ALL.len()],
    bytes: [u64; GossipKind::ALL.len()],
    /// Sends put off for want of bytes.
    pub deferred: u64,
    /// Sends given up for want of bytes or room.
    pub dropped: u64,
}

impl GossipCounters {
    /// Counts one datagram of `kind`.
    pub fn count(&mut self, kind: GossipKind, bytes: u64) {
        self.messages[kind as usize] += 1;
        self.bytes[kind as usize] += bytes;
    }

    /// Datagrams of `kind` sent.
    pub fn messages(&self, kind: GossipKind) -> u64 {
        self.messages[kind as usize]
    }

    /// Bytes of `kind` sent.
    pub fn bytes(&self, kind: GossipKind) -> u64 {
        self.bytes[kind as usize]
    }

    /// Bytes of all kinds sent.
    pub fn total_bytes(&self) -> u64 {
        self.bytes.iter().sum()
    }
}
