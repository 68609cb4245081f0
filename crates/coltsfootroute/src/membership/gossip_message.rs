//! One gossip datagram.

use indexmap::IndexSet;

use super::{GossipPayload, MemberUpdate, member_update::packed_bytes};
use crate::freshness::StoreTime;

/// Largest datagram, in bytes of payload: passes every usual path unfragmented.
pub const MAX_DATAGRAM_BYTES: usize = 1_200;
/// Bytes of the IP and UDP headers, counted with each datagram.
pub const DATAGRAM_OVERHEAD_BYTES: usize = 28;

/// Bytes of the frame: segment table, root, list pointers.
const FRAME_BYTES: usize = 28;
/// Most bytes of the digest, which is not known until the message is sent.
const QUARANTINE_BYTES: usize = 9;
/// Most bytes of the confirmation, which is not known until the message is sent either.
const CONFIRMED_BYTES: usize = 9;
/// Bytes that a name costs beside its text: pointer and padding.
const NAME_OVERHEAD_BYTES: usize = 6;

record_type! {
    /// One datagram between two nodes.
    pub struct GossipMessage {
        /// Revision of the configuration that the sender has in force.
        pub revision: u64,
        /// Digest of the requests that the sender holds back; set as the message is sent.
        pub quarantine: u64,
        /// When the store's clock showed this, no revision was newer than `revision`; set as the message is sent.
        pub confirmed: Option<StoreTime>,
        /// What the message asks or answers.
        pub payload: GossipPayload,
        /// Records that travel along.
        pub updates: Vec<MemberUpdate>,
    }
}

impl GossipMessage {
    /// A message without updates.
    pub fn new(revision: u64, payload: GossipPayload) -> Self {
        Self { revision, quarantine: 0, confirmed: None, payload, updates: Vec::new() }
    }

    /// Upper bound of the encoded size, in bytes, headers of IP and UDP not included.
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

    /// Adds updates, in their order, as long as the datagram stays within its bound; returns how many
    /// fitted.
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
