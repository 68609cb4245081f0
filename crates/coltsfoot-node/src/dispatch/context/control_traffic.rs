//! Count of the control messages between nodes.
//!
//! They share connections with the calls, so their size is computed from the layout of the protocol
//! instead of read from the connection.

use super::NodeContext;
use crate::metrics::{ControlKind, TrafficDirection};

/// A question without its payload: `Call` and `Finish` messages of capnp-rpc with their segment tables
/// (168 and 40 bytes), and an IP and TCP header for each.
const REQUEST_OVERHEAD_BYTES: usize = 168 + 40 + 2 * 52;
/// An answer without its payload: a `Return` message with its segment table (96 bytes) and headers.
const RESPONSE_OVERHEAD_BYTES: usize = 96 + 52;

impl NodeContext {
    /// Counts a question to another node with payloads of so many bytes.
    pub fn count_sent_request(&self, kind: ControlKind, request: usize, response: usize) {
        self.count(kind, TrafficDirection::Sent, REQUEST_OVERHEAD_BYTES + request);
        self.count(kind, TrafficDirection::Received, RESPONSE_OVERHEAD_BYTES + response);
    }

    /// Counts a question of another node with payloads of so many bytes.
    pub fn count_received_request(&self, kind: ControlKind, request: usize, response: usize) {
        self.count(kind, TrafficDirection::Received, REQUEST_OVERHEAD_BYTES + request);
        self.count(kind, TrafficDirection::Sent, RESPONSE_OVERHEAD_BYTES + response);
    }

    fn count(&self, kind: ControlKind, direction: TrafficDirection, bytes: usize) {
        self.metrics.control.add_bytes(kind, direction, bytes);
    }
}

/// Payload of a question about a retry token: request and token.
pub const TOKEN_REQUEST_BYTES: usize = 24;
/// Payload of a question about a claim.
pub const CLAIM_REQUEST_BYTES: usize = 16;
/// Payload of a question for changes of the configuration.
pub const CONFIG_REQUEST_BYTES: usize = 8;
/// Payload of an answer that is one word.
pub const WORD_BYTES: usize = 8;
/// Payload of a question for credit: asker, number, and a name of usual length.
pub const CREDIT_REQUEST_BYTES: usize = 64;
/// Payload of its answer.
pub const CREDIT_RESPONSE_BYTES: usize = 16;
