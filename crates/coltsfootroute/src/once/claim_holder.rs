//! Holder of a claim.

use std::fmt;

use crate::id::{Incarnation, NodeId};

value_type! {
    /// One incarnation of a node. A claim belongs to the incarnation that made it: a restarted node
    /// doesn't know what its previous incarnation dispatched.
    #[derive(serde::Serialize, serde::Deserialize)]
    #[serde(deny_unknown_fields)]
    pub struct ClaimHolder {
        /// The node.
        pub node: NodeId,
        /// The node's incarnation.
        #[serde(with = "incarnation_number")]
        pub incarnation: Incarnation,
    }
}

impl ClaimHolder {
    /// Returns whether `self` is a later incarnation of the same node as `other`.
    pub fn succeeds(self, other: Self) -> bool {
        self.node == other.node && self.incarnation > other.incarnation
    }
}

impl fmt::Display for ClaimHolder {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}@{}", self.node, self.incarnation)
    }
}

/// Serializes an incarnation as a plain number in records.
mod incarnation_number {
    use serde::{Deserialize, Deserializer, Serializer};

    use crate::id::Incarnation;

    pub(super) fn serialize<S: Serializer>(
        incarnation: &Incarnation,
        serializer: S,
    ) -> Result<S::Ok, S::Error> {
        serializer.serialize_u64(incarnation.0)
    }

    pub(super) fn deserialize<'de, D: Deserializer<'de>>(
        deserializer: D,
    ) -> Result<Incarnation, D::Error> {
        u64::deserialize(deserializer).map(Incarnation)
    }
}
