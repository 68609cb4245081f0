//! How a node uses the platform's store.

use std::net::SocketAddr;

use super::field_reader::FieldReader;

/// Writes a second that all nodes together may make.
const DEFAULT_WRITES_PER_S: u64 = 200;
/// Reads a second that all nodes together may make.
const DEFAULT_READS_PER_S: u64 = 1_000;
/// Nodes among which the rates are shared.
const DEFAULT_NODES: u64 = 12;
/// Highest rate a file may give.
const MAX_RATE_PER_S: u64 = 1_000_000;
/// Most nodes a file may give.
const MAX_NODES: u64 = 1_000_000;

/// How a node uses the platform's store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoreSettings {
    /// Table service.
    pub table: SocketAddr,
    /// Object store; without one, answers too large for a row are not kept.
    pub objects: Option<SocketAddr>,
    /// Writes a second that all nodes together may make; at least 1.
    pub writes_per_s: u64,
    /// Reads a second that all nodes together may make; at least 1.
    pub reads_per_s: u64,
    /// Nodes among which the rates are shared; at least 1.
    pub nodes: u64,
}

impl StoreSettings {
    pub(super) fn read(reader: &mut FieldReader<'_>) -> Option<Self> {
        let table = reader.required("table");
        let objects = reader.optional("objects");
        let writes_per_s = reader.number("writes_per_s", DEFAULT_WRITES_PER_S, 1..=MAX_RATE_PER_S);
        let reads_per_s = reader.number("reads_per_s", DEFAULT_READS_PER_S, 1..=MAX_RATE_PER_S);
        let nodes = reader.number("nodes", DEFAULT_NODES, 1..=MAX_NODES);
        Some(Self { table: table?, objects, writes_per_s, reads_per_s, nodes })
    }
}
