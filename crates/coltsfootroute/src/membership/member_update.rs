//! Record as sent between nodes.

use std::time::Duration;

use super::MemberRecord;

/// Bytes of the port, the state and the indexes of the three names, with the tag of their word.
const NUMBERS_BYTES: usize = 7;

record_type! {
    /// Record with its age. Because of the age, an old record expires on all nodes at about the same time instead of
    /// being passed on indefinitely.
    pub struct MemberUpdate {
        /// Record of the member.
        pub record: MemberRecord,
        /// Time since a dead or departed member became so, or since the member itself or its group confirmed a live
        /// one. Whole seconds on the wire.
        pub age: Duration,
    }
}

impl MemberUpdate {
    /// Creates an update of age zero.
    pub fn new(record: MemberRecord) -> Self {
        Self { record, age: Duration::ZERO }
    }

    /// Sets the age of the update.
    pub fn with_age(self, age: Duration) -> Self {
        Self { age, ..self }
    }

    /// Returns an upper bound of the packed size on the wire, in bytes, without names.
    pub fn wire_bytes(&self) -> usize {
        let (high, low) = address_words(self.record.node.0.ip());
        let record = &self.record;
        let sizes = u64::from(record.slots) | u64::from(record.connections) << 32;
        let age = u32::try_from(self.age.as_secs() + 1).unwrap_or(u32::MAX);
        packed_bytes(high)
            + packed_bytes(low)
            + packed_bytes(record.incarnation.0)
            + packed_bytes(sizes)
            + NUMBERS_BYTES
            + packed_bytes(u64::from(age))
    }
}

pub(super) fn address_words(ip: std::net::IpAddr) -> (u64, u64) {
    let bits = match ip {
        std::net::IpAddr::V4(ip) => ip.to_ipv6_mapped().to_bits(),
        std::net::IpAddr::V6(ip) => ip.to_bits(),
    };
    ((bits >> 64) as u64, bits as u64)
}

/// Returns the maximum number of bytes that Cap'n Proto's packing takes for `word`: a tag, the bytes that are not zero,
/// and a run length if all or none of them are zero.
pub(super) fn packed_bytes(word: u64) -> usize {
    let set = word.to_le_bytes().iter().filter(|byte| **byte != 0).count();
    let run = usize::from(set == 0 || set == 8);
    1 + set + run
}
