//! Counts the bytes of control messages between nodes.
//!
//! Control messages share connections with calls, so their size is computed from the layout of the protocol and not
//! read from the connection.

use super::NodeContext;
use crate::metrics::{ControlKind, TrafficDirection};

/// Size of a request without its payload: `Call` and `Finish` messages of capnp-rpc with their segment tables
/// (168 and 40 bytes), and an IP and TCP header for each.
const REQUEST_OVERHEAD_BYTES: usize = 168 + 40 + 2 * 52;
/// Size of a response without its payload: a `Return` message with its segment table (96 bytes), and an IP and TCP
/// header.
const RESPONSE_OVERHEAD_BYTES: usize = 96 + 52;

impl NodeContext {
    /// Counts a request to another node, and its response, with payloads of `request` and `response` bytes.
    pub fn count_sent_request(&self, kind: ControlKind, request: usize, response: usize) {
        self.count(kind, TrafficDirection::Sent, REQUEST_OVERHEAD_BYTES + request);
        self.count(kind, TrafficDirection::Received, RESPONSE_OVERHEAD_BYTES + response);
    }

    /// Counts a request from another node, and its response, with payloads of `request` and `response` bytes.
    pub fn count_received_request(&self, kind: ControlKind, request: usize, response: usize) {
        self.count(kind, TrafficDirection::Received, REQUEST_OVERHEAD_BYTES + request);
        self.count(kind, TrafficDirection::Sent, RESPONSE_OVERHEAD_BYTES + response);
    }

    fn count(&self, kind: ControlKind, direction: TrafficDirection, bytes: usize) {
        self.metrics.control.add_bytes(kind, direction, bytes);
    }
}

/// Payload size of a request for a retry token: request and token identifiers.
pub const TOKEN_REQUEST_BYTES: usize = 24;
/// Payload size of a query about a claim.
pub const CLAIM_REQUEST_BYTES: usize = 16;
/// Payload size of a request for changes of the configuration.
pub const CONFIG_REQUEST_BYTES: usize = 8;
/// Payload size of a response that consists of one 8-byte word.
pub const WORD_BYTES: usize = 8;
/// Payload size of a request for credit: requesting node, number, and a name of usual length.
pub const CREDIT_REQUEST_BYTES: usize = 64;
/// Payload size of the response to a request for credit.
pub const CREDIT_RESPONSE_BYTES: usize = 16;
