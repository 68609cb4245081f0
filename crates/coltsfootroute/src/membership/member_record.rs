//! Record of one member.

use std::{cmp::Ordering, hash::Hasher, net::IpAddr};

use twox_hash::XxHash3_64;

use super::MemberState;
use crate::{
    id::{Incarnation, NodeId},
    name::{DomainName, RegionName, ServiceName},
};

/// Seed of the record hash; all nodes must agree on it.
const RECORD_HASH_SEED: u64 = 0x636f_6c74_7366_6f6f;

record_type! {
    /// Record of a node as a member of the group of its upstream's service.
    ///
    /// 104 bytes in memory (`size_of`, 64 bit); names are shared. The content changes only together with the
    /// incarnation.
    pub struct MemberRecord {
        /// The member's peer address.
        pub node: NodeId,
        /// Incarnation of the node; the record with the higher one supersedes the other.
        pub incarnation: Incarnation,
        /// Service of the upstream beside the node. `None` while no upstream has announced itself; such a node belongs
        /// to no group and only watches other groups.
        pub service: Option<ServiceName>,
        /// Failure domain of the host.
        pub domain: DomainName,
        /// Region of the host.
        pub region: RegionName,
        /// Number of requests that the upstream runs concurrently.
        pub slots: u32,
        /// Number of connections that the upstream accepts.
        pub connections: u32,
        /// State of the member; within one incarnation the higher state supersedes the lower.
        pub state: MemberState,
    }
}

impl MemberRecord {
    /// Creates the record of a node that is alive and has no upstream.
    pub fn new(
        node: NodeId,
        incarnation: Incarnation,
        domain: DomainName,
        region: RegionName,
    ) -> Self {
        Self {
            node,
            incarnation,
            service: None,
            domain,
            region,
            slots: 0,
            connections: 0,
            state: MemberState::Alive,
        }
    }

    /// Returns the same record in another state.
    pub fn with_state(&self, state: MemberState) -> Self {
        Self { state, ..self.clone() }
    }

    /// Compares by the merge order: incarnation first, then Alive < Suspect < Dead < Left. The greater record is kept.
    pub fn merge_order(&self, other: &Self) -> Ordering {
        (self.incarnation, self.state).cmp(&(other.incarnation, other.state))
    }

    /// Returns a hash of the content that is the same on every build and host.
    pub fn content_hash(&self) -> u64 {
        let mut hasher = XxHash3_64::with_seed(RECORD_HASH_SEED);
        write_node(&mut hasher, self.node);
        hasher.write(&self.incarnation.0.to_le_bytes());
        hasher.write(&[self.state as u8]);
        write_text(&mut hasher, self.service.as_ref().map_or("", |service| service.as_str()));
        write_text(&mut hasher, self.domain.as_str());
        write_text(&mut hasher, self.region.as_str());
        hasher.write(&self.slots.to_le_bytes());
        hasher.write(&self.connections.to_le_bytes());
        hasher.finish()
    }

    /// Returns a hash of the node alone, which selects the record's bucket.
    pub fn node_hash(&self) -> u64 {
        let mut hasher = XxHash3_64::with_seed(RECORD_HASH_SEED);
        write_node(&mut hasher, self.node);
        hasher.finish()
    }
}

fn write_node(hasher: &mut XxHash3_64, node: NodeId) {
    match node.0.ip() {
        IpAddr::V4(ip) => hasher.write(&ip.octets()),
        IpAddr::V6(ip) => hasher.write(&ip.octets()),
    }
    hasher.write(&node.0.port().to_le_bytes());
}

fn write_text(hasher: &mut XxHash3_64, text: &str) {
    hasher.write(&(text.len() as u32).to_le_bytes());
    hasher.write(text.as_bytes());
}
