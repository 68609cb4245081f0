//! One recorded event.

use super::{EventKind, HybridStamp, incarnation_form::IncarnationForm, key_values::KeyValues};
use crate::id::{Incarnation, NodeId, RequestId};

record_type! {
    /// One recorded event of one node.
    ///
    /// `(node, life, sequence)` identifies it; `(stamp, node, sequence)` orders all events of all nodes,
    /// effects after their causes.
    #[derive(serde::Serialize, serde::Deserialize)]
    pub struct EventRecord {
        /// When, on the hybrid logical clock.
        pub stamp: HybridStamp,
        /// Where.
        pub node: NodeId,
        /// The incarnation with which the process started: tells the lives at one address apart.
        #[serde(rename = "life", with = "IncarnationForm")]
        pub incarnation: Incarnation,
        /// Position among the events of that life: 0, 1, 2, … A number missing between two records is an event
        /// that was dropped.
        pub sequence: u64,
        /// What.
        #[serde(flatten)]
        pub kind: EventKind,
    }
}

impl EventRecord {
    /// The record as one log line, without line end: `event=…` first, then the fields of the kind, then
    /// where and when.
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

    /// The record as one line of JSON, without line end.
    pub fn to_json(&self) -> String {
        // Every field is a number, text or enumeration: serialising to a string can't fail.
        serde_json::to_string(self).unwrap_or_default()
    }

    /// Parses one line of JSON.
    ///
    /// # Errors
    ///
    /// [`EventLineError`] if the line holds no record or one of an unknown kind.
    pub fn from_json(line: &str) -> Result<Self, EventLineError> {
        serde_json::from_str(line).map_err(|error| EventLineError(error.to_string()))
    }

    /// The client request that the event belongs to, if any.
    pub fn request(&self) -> Option<RequestId> {
        self.kind.request()
    }

    /// Key of the order over all nodes.
    pub fn order_key(&self) -> (HybridStamp, NodeId, u64) {
        (self.stamp, self.node, self.sequence)
    }
}

/// The line holds no event record.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("no event record: {0}")]
pub struct EventLineError(pub String);
