//! Recorded event.

use super::{EventKind, HybridStamp, incarnation_form::IncarnationForm, key_values::KeyValues};
use crate::id::{Incarnation, NodeId, RequestId};

record_type! {
    /// Recorded event of one node.
    ///
    /// `(node, incarnation, sequence)` identifies the event. `(stamp, node, sequence)` orders the events of all nodes,
    /// with effects after their causes.
    #[derive(serde::Serialize, serde::Deserialize)]
    pub struct EventRecord {
        /// Time of the event on the hybrid logical clock.
        pub stamp: HybridStamp,
        /// Node that recorded the event.
        pub node: NodeId,
        /// Incarnation with which the process started. Distinguishes the processes that have run at one address.
        #[serde(rename = "life", with = "IncarnationForm")]
        pub incarnation: Incarnation,
        /// Sequence number among the events of that incarnation: 0, 1, 2, … A number missing between two records is a
        /// dropped event.
        pub sequence: u64,
        /// Kind of the event, with its fields.
        #[serde(flatten)]
        pub kind: EventKind,
    }
}

impl EventRecord {
    /// Formats the record as one log line without a line terminator: `event=…` first, then the fields of the kind, then
    /// the node, incarnation, sequence number and stamp.
    pub fn to_key_values(&self) -> String {
        let mut line = KeyValues::new();
        line.push("event", &self.kind.name());
        self.kind.write_fields(&mut line);
        line.push("node", &self.node);
        line.push("life", &self.incarnation);
        line.push("sequence", &self.sequence);
        line.push("stamp", &self.stamp);
        line.into_line()
    }

    /// Formats the record as one line of JSON without a line terminator.
    pub fn to_json(&self) -> String {
        // Serialisation can't fail: every field is a number, text or enumeration.
        serde_json::to_string(self).unwrap_or_default()
    }

    /// Parses one line of JSON.
    ///
    /// # Errors
    ///
    /// Returns [`EventLineError`] if the line contains no record or one of an unknown kind.
    pub fn from_json(line: &str) -> Result<Self, EventLineError> {
        serde_json::from_str(line).map_err(|error| EventLineError(error.to_string()))
    }

    /// Returns the client request that the event belongs to; `None` if it belongs to none.
    pub fn request(&self) -> Option<RequestId> {
        self.kind.request()
    }

    /// Returns the key that orders events across all nodes.
    pub fn order_key(&self) -> (HybridStamp, NodeId, u64) {
        (self.stamp, self.node, self.sequence)
    }
}

/// Error for a line that contains no event record.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("no event record: {0}")]
pub struct EventLineError(pub String);
