//! What the nodes of a mesh have sent.

/// What the nodes of a mesh have sent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct MeshTraffic {
    /// Datagrams.
    pub datagrams: u64,
    /// Their bytes as encoded, IP and UDP headers included.
    pub bytes: u64,
}

impl MeshTraffic {
    /// Counts a datagram of `bytes`, headers included.
    pub fn count(&mut self, bytes: usize) {
        self.datagrams += 1;
        self.bytes += bytes as u64;
    }

    /// What was sent since `earlier`.
    pub fn since(self, earlier: Self) -> Self {
        Self { datagrams: self.datagrams - earlier.datagrams, bytes: self.bytes - earlier.bytes }
    }
}
