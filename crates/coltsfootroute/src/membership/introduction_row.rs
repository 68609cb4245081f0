//! The row by which newcomers find a node.

use crate::{
    id::{Incarnation, NodeId},
    name::ServiceName,
    table::{RowCondition, RowKey, RowWrite, TableRequest},
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
    pub fn write(&self) -> TableRequest {
        self.transact(Some(self.incarnation.0.to_string()))
    }

    /// Removes the row.
    pub fn remove(&self) -> TableRequest {
        self.transact(None)
    }

    /// What a key says, if it is the key of such a row.
    pub fn read_key(key: &RowKey) -> Option<IntroducedNode> {
        let (service, node) = key.as_str().strip_prefix(PREFIX)?.rsplit_once('/')?;
        Some(IntroducedNode {
            service: ServiceName::new(service),
            node: NodeId(node.parse().ok()?),
        })
    }

    fn transact(&self, value: Option<String>) -> TableRequest {
        let key = RowKey::new(&format!("{PREFIX}{}/{}", self.service, self.node));
        TableRequest::Transact(vec![RowWrite { key, condition: RowCondition::Any, value }])
    }
}
