//! Settings of the stand-in.

use std::net::SocketAddr;

/// Address and rates of a table stand-in.
#[derive(Clone, Debug, PartialEq)]
pub struct TableSettings {
    /// Address to listen on; port 0 takes any free port.
    pub address: SocketAddr,
    /// Most transactions a second.
    pub writes_per_s: f64,
    /// Most reads and scans a second.
    pub reads_per_s: f64,
}

impl TableSettings {
    /// Listens on `address`, at the platform's rates of today.
    pub fn new(address: SocketAddr) -> Self {
        Self { address, writes_per_s: 500.0, reads_per_s: 2_000.0 }
    }
}

impl Default for TableSettings {
    fn default() -> Self {
        Self::new(SocketAddr::from(([127, 0, 0, 1], 0)))
    }
}
