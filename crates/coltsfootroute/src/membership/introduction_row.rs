//! The row by which newcomers find a node.

use crate::{
    id::{Incarnation, NodeId},
    name::ServiceName,
    table::{RowCondition, RowKey, RowWrite},
};

/// Common start of the keys.
pub(super) const PREFIX: &str = "introduction/";

record_type! {
    /// The row of one node, `introduction/{service}/{node}`, with its incarnation as value.
    ///
    /// It may be stale: whoever reads it asks the node itself.
    pub struct IntroductionRow {
        /// Service of the upstream beside the node.
        pub service: ServiceName,
        /// The node.
        pub node: NodeId,
        /// Its life.
        pub incarnation: Incarnation,
    }
}

record_type! {
    /// A node as the key of its row introduces it.
    pub struct IntroducedNode {
        /// Service of the upstream beside the node.
        pub service: ServiceName,
        /// The node.
        pub node: NodeId,
    }
}

impl IntroductionRow {
    /// Writes the row over that of an earlier life.
    pub fn write(&self) -> RowWrite {
        self.change(Some(self.incarnation.0.to_string()))
    }

    /// Removes the row.
    pub fn removal(&self) -> RowWrite {
        self.change(None)
    }

    /// What a key says, if it is the key of such a row.
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
