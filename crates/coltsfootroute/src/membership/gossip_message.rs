//! One gossip datagram.

use indexmap::IndexSet;

use super::{GossipPayload, MemberUpdate, member_update::packed_bytes};
use crate::freshness::StoreTime;

/// Maximum payload of a datagram, in bytes; passes all common network paths without fragmentation.
pub const MAX_DATAGRAM_BYTES: usize = 1_200;
/// Bytes of the IP and UDP headers, counted with each datagram.
pub const DATAGRAM_OVERHEAD_BYTES: usize = 28;

/// Bytes of the frame: segment table, root, list pointers.
const FRAME_BYTES: usize = 28;
/// Maximum size of the quarantine digest, in bytes. The digest is not known until the message is sent.
const QUARANTINE_BYTES: usize = 9;
/// Maximum size of the confirmation, in bytes. The confirmation is not known until the message is sent.
const CONFIRMED_BYTES: usize = 9;
/// Bytes that a name takes in addition to its text: pointer and padding.
const NAME_OVERHEAD_BYTES: usize = 6;

record_type! {
    /// One datagram between two nodes.
    pub struct GossipMessage {
        /// Revision of the configuration that the sender has in force.
        pub revision: u64,
        /// Digest of the requests that the sender holds back; set when the message is sent.
        pub quarantine: u64,
        /// Time by the store's clock at which no revision was newer than `revision`; set when the message is sent.
        /// `None` if the sender has no such proof.
        pub confirmed: Option<StoreTime>,
        /// Request or reply that the message carries.
        pub payload: GossipPayload,
        /// Records sent along with the payload.
        pub updates: Vec<MemberUpdate>,
    }
}

impl GossipMessage {
    /// Creates a message without updates.
    pub fn new(revision: u64, payload: GossipPayload) -> Self {
        Self { revision, quarantine: 0, confirmed: None, payload, updates: Vec::new() }
    }

    /// Returns an upper bound of the encoded size, in bytes, without the IP and UDP headers.
    pub fn wire_bytes(&self) -> usize {
        let mut names = IndexSet::new();
        if let Some(service) = self.payload.service() {
            names.insert(service.as_str());
        }
        for update in &self.updates {
            names.extend(names_of(update));
        }
        let names: usize = names.iter().map(|name| name_bytes(name)).sum();
        let updates: usize = self.updates.iter().map(MemberUpdate::wire_bytes).sum();
        FRAME_BYTES
            + packed_bytes(self.revision)
            + packed_bytes(self.quarantine)
            + packed_bytes(self.confirmed.map_or(0, |confirmed| confirmed.0))
            + self.payload.wire_bytes()
            + names
            + updates
    }

    /// Adds updates in order until the next one would exceed the maximum datagram size. Returns the number of updates
    /// added.
    pub fn fill(&mut self, updates: impl IntoIterator<Item = MemberUpdate>) -> usize {
        let mut added = 0;
        for update in updates {
            self.updates.push(update);
            if self.wire_bytes() + QUARANTINE_BYTES + CONFIRMED_BYTES > MAX_DATAGRAM_BYTES {
                self.updates.pop();
                break;
            }
            added += 1;
        }
        added
    }
}

fn names_of(update: &MemberUpdate) -> impl Iterator<Item = &str> {
    let record = &update.record;
    let service = record.service.as_ref().map(|service| service.as_str());
    service.into_iter().chain([record.domain.as_str(), record.region.as_str()])
}

fn name_bytes(name: &str) -> usize {
    NAME_OVERHEAD_BYTES + name.len() + (name.len() + 1).div_ceil(8)
}
