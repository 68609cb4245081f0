//! Fixtures.

mod fake_node;

use std::net::SocketAddr;

use coltsfootroute::{
    event::{EventKind, EventRecord, HybridStamp},
    id::{Incarnation, NodeId, RequestId},
    name::{OperationName, ServiceName},
};

pub use fake_node::FakeNode;

pub const START_MS: u64 = 1_700_000_000_000;

pub fn node(host: u8) -> NodeId {
    NodeId(SocketAddr::from(([127, 0, 0, host], 4711)))
}

/// An event of `host`, `offset_ms` after the start.
pub fn event(host: u8, sequence: u64, offset_ms: u64) -> EventRecord {
    event_of(host, sequence, offset_ms, EventKind::DrainBegun { in_flight: 1, unsent: 1 })
}

pub fn event_of(host: u8, sequence: u64, offset_ms: u64, kind: EventKind) -> EventRecord {
    let stamp = HybridStamp::new(START_MS + offset_ms, 0);
    EventRecord { stamp, node: node(host), incarnation: Incarnation(1), sequence, kind }
}

pub fn completed(request: u128, service: &str) -> EventKind {
    EventKind::RequestCompleted {
        request: RequestId(request),
        service: ServiceName::new(service),
        operation: OperationName::new("read"),
        status: 200,
        elapsed_us: 900,
    }
}

/// Host and sequence number of each record.
pub fn places(records: &[EventRecord]) -> Vec<(u8, u64)> {
    records.iter().map(|record| (host_of(record), record.sequence)).collect()
}

fn host_of(record: &EventRecord) -> u8 {
    match record.node.0 {
        SocketAddr::V4(address) => address.ip().octets()[3],
        SocketAddr::V6(_) => 0,
    }
}
