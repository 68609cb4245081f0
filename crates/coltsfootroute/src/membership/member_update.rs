//! A record on its way between nodes.

use std::time::Duration;

use super::MemberRecord;

/// Bytes of the port, the state and the three name numbers, with the tag of their word.
const NUMBERS_BYTES: usize = 7;

record_type! {
    /// A record with its age, so that old knowledge expires everywhere at about the same time instead
    /// of being handed on for ever.
    pub struct MemberUpdate {
        /// What is said.
        pub record: MemberRecord,
        /// Of a dead or departed member: time since it became so. Of a live one: time since its own
        /// group, or itself, confirmed it. Whole seconds on the wire.
        pub age: Duration,
    }
}

impl MemberUpdate {
    /// A fresh statement.
    pub fn new(record: MemberRecord) -> Self {
        Self { record, age: Duration::ZERO }
    }

    /// The same statement, `age` old.
    pub fn with_age(self, age: Duration) -> Self {
        Self { age, ..self }
    }

    /// Upper bound of its packed size on the wire, in bytes, names not included.
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

/// Most bytes that Cap'n Proto's packing spends on `word`: a tag, the bytes that are not zero, and a
/// run length where all or none are.
pub(super) fn packed_bytes(word: u64) -> usize {
    let set = word.to_le_bytes().iter().filter(|byte| **byte != 0).count();
    let run = usize::from(set == 0 || set == 8);
    1 + set + run
}
