//! Row of the table service by which newly started nodes find a node.

use crate::{
    id::{Incarnation, NodeId},
    name::ServiceName,
    table::{RowCondition, RowKey, RowWrite},
};

/// Common prefix of the keys.
pub(super) const PREFIX: &str = "introduction/";

record_type! {
    /// Row of one node: the key is `introduction/{service}/{node}`, the value is its incarnation.
    ///
    /// The row may be stale; a reader contacts the node itself to find out.
    pub struct IntroductionRow {
        /// Service of the upstream beside the node.
        pub service: ServiceName,
        /// The node.
        pub node: NodeId,
        /// Incarnation of the node.
        pub incarnation: Incarnation,
    }
}

record_type! {
    /// Node and service as read from the key of a row.
    pub struct IntroducedNode {
        /// Service of the upstream beside the node.
        pub service: ServiceName,
        /// The node.
        pub node: NodeId,
    }
}

impl IntroductionRow {
    /// Returns a write that replaces the row of an earlier incarnation.
    pub fn write(&self) -> RowWrite {
        self.change(Some(self.incarnation.0.to_string()))
    }

    /// Returns a write that removes the row.
    pub fn removal(&self) -> RowWrite {
        self.change(None)
    }

    /// Parses the key of a row. Returns `None` if it is not the key of an introduction.
    pub fn parse_key(key: &RowKey) -> Option<IntroducedNode> {
        let (service, node) = key.as_str().strip_prefix(PREFIX)?.rsplit_once('/')?;
        Some(IntroducedNode {
            service: ServiceName::new(service),
            node: NodeId(node.parse().ok()?),
        })
    }

    fn change(&self, value: Option<String>) -> RowWrite {
        let key = RowKey::new(&format!("{PREFIX}{}/{}", self.service, self.node));
        RowWrite { key, condition: RowCondition::Any, value }
    }
}
