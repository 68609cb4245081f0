//! Holder of a claim.

use std::fmt;

use crate::id::{Incarnation, NodeId};

value_type! {
    /// One life of a node. A claim stays with the life that made it: a restarted node doesn't know
    /// what the life before it dispatched.
    #[derive(serde::Serialize, serde::Deserialize)]
    #[serde(deny_unknown_fields)]
    pub struct ClaimHolder {
        /// The node.
        pub node: NodeId,
        /// Its life.
        #[serde(with = "incarnation_number")]
        pub incarnation: Incarnation,
    }
}

impl ClaimHolder {
    /// Whether `self` is a later life of the node that `other` was.
    pub fn succeeds(self, other: Self) -> bool {
        self.node == other.node && self.incarnation > other.incarnation
    }
}

impl fmt::Display for ClaimHolder {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}@{}", self.node, self.incarnation)
    }
}

/// An incarnation as a plain number in records.
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
