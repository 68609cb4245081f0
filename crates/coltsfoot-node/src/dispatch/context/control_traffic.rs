//! Count of the control messages between nodes.
//!
//! They share connections with the calls, so their size is computed from the layout of the protocol
//! instead of read from the connection.

use super::NodeContext;
use crate::metrics::{ControlKind, TrafficDirection};

/// A question without its payload: `Call` and `Finish` messages of capnp-rpc with their segment tables
/// (168 and 40 bytes), and an IP and TCP header for each.
const QUESTION_BYTES: usize = 168 + 40 + 2 * 52;
/// An answer without its payload: a `Return` message with its segment table (96 bytes) and headers.
const ANSWER_BYTES: usize = 96 + 52;

impl NodeContext {
    /// Counts a question to another node with payloads of so many bytes.
    pub fn count_asked(&self, kind: ControlKind, question: usize, answer: usize) {
        self.count(kind, TrafficDirection::Sent, QUESTION_BYTES + question);
        self.count(kind, TrafficDirection::Received, ANSWER_BYTES + answer);
    }

    /// Counts a question of another node with payloads of so many bytes.
    pub fn count_answered(&self, kind: ControlKind, question: usize, answer: usize) {
        self.count(kind, TrafficDirection::Received, QUESTION_BYTES + question);
        self.count(kind, TrafficDirection::Sent, ANSWER_BYTES + answer);
    }

    fn count(&self, kind: ControlKind, direction: TrafficDirection, bytes: usize) {
        self.metrics.control.add_bytes(kind, direction, bytes);
    }
}

/// Payload of a question about a retry token: request and token.
pub const TAKE_BYTES: usize = 24;
/// Payload of a question about a claim.
pub const CLAIM_BYTES: usize = 16;
/// Payload of a question for changes of the configuration.
pub const SINCE_BYTES: usize = 8;
/// Payload of an answer that is one word.
pub const WORD_BYTES: usize = 8;
/// Payload of a question for credit: asker, number, and a name of usual length.
pub const CREDIT_BYTES: usize = 64;
/// Payload of its answer.
pub const GRANT_BYTES: usize = 16;
