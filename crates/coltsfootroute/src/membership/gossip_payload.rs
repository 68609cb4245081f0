//! What a gossip message asks or answers.

use super::{
    GossipKind,
    member_update::{address_words, packed_bytes},
};
use crate::{id::NodeId, name::ServiceName};

/// Bytes of the kind, the number of the service's name and that of buckets.
const KIND_BYTES: usize = 8;
/// Bytes of an address beside its IP: pointer and port.
const ADDRESS_BYTES: usize = 10;
/// Bytes of a list beside its entries.
const LIST_BYTES: usize = 8;
/// Bytes of one digest of a bucket.
const DIGEST_BYTES: usize = 5;
/// Bytes of one bucket's index.
const INDEX_BYTES: usize = 3;

record_type! {
    /// The purpose of a message; records travel beside it in the message.
    pub enum GossipPayload {
        /// Probe; answered by an [`Ack`](Self::Ack) of the same sequence.
        Ping {
            /// Chosen by the sender.
            sequence: u64,
        },
        /// `target` answered the probe `sequence`.
        Ack {
            /// The sequence of the probe.
            sequence: u64,
            /// The node that is thereby known to answer.
            target: NodeId,
        },
        /// Probe `target` for me.
        PingRequest {
            /// Chosen by the asking node.
            sequence: u64,
            /// The node to probe.
            target: NodeId,
        },
        /// The live records of `service` that I hold have this digest.
        Pull {
            /// The group.
            service: ServiceName,
            /// XOR of the hashes of the live records.
            digest: u64,
        },
        /// Mine are the same.
        PullMatch {
            /// The group.
            service: ServiceName,
        },
        /// Mine differ; these are the digests by bucket.
        PullBuckets {
            /// The group.
            service: ServiceName,
            /// A power of two many digests, cut to 32 bits.
            digests: Vec<u32>,
        },
        /// Send the records of these buckets.
        PullRecords {
            /// The group.
            service: ServiceName,
            /// Number of buckets that the indexes refer to; a power of two.
            bucket_count: u16,
            /// Indexes of the buckets that differ.
            wanted: Vec<u16>,
        },
        /// Records of some buckets, in the message's updates.
        Records {
            /// The group.
            service: ServiceName,
            /// Number of buckets that the indexes refer to; a power of two.
            bucket_count: u16,
            /// Buckets of which this message holds every record.
            complete: Vec<u16>,
        },
        /// I am not of that group; the members that I know are in the updates.
        Seeds {
            /// The group.
            service: ServiceName,
        },
        /// Only the updates matter.
        Push,
    }
}

impl GossipPayload {
    /// Kind of the message.
    pub fn kind(&self) -> GossipKind {
        match self {
            Self::Ping { .. } => GossipKind::Ping,
            Self::Ack { .. } => GossipKind::Ack,
            Self::PingRequest { .. } => GossipKind::PingRequest,
            Self::Pull { .. } => GossipKind::Pull,
            Self::PullMatch { .. } => GossipKind::PullMatch,
            Self::PullBuckets { .. } => GossipKind::PullBuckets,
            Self::PullRecords { .. } => GossipKind::PullRecords,
            Self::Records { .. } => GossipKind::Records,
            Self::Seeds { .. } => GossipKind::Seeds,
            Self::Push => GossipKind::Push,
        }
    }

    /// The service that the message speaks of, if any.
    pub fn service(&self) -> Option<&ServiceName> {
        match self {
            Self::Pull { service, .. }
            | Self::PullMatch { service }
            | Self::PullBuckets { service, .. }
            | Self::PullRecords { service, .. }
            | Self::Records { service, .. }
            | Self::Seeds { service } => Some(service),
            _ => None,
        }
    }

    /// Upper bound of its size on the wire, in bytes, the service's name not included.
    pub(crate) fn wire_bytes(&self) -> usize {
        KIND_BYTES
            + match self {
                Self::Ping { sequence } => packed_bytes(*sequence),
                Self::Ack { sequence, target } | Self::PingRequest { sequence, target } => {
                    packed_bytes(*sequence) + address_bytes(*target)
                }
                Self::Pull { digest, .. } => packed_bytes(*digest),
                Self::PullBuckets { digests, .. } => LIST_BYTES + digests.len() * DIGEST_BYTES,
                Self::PullRecords { wanted, .. } => LIST_BYTES + wanted.len() * INDEX_BYTES,
                Self::Records { complete, .. } => LIST_BYTES + complete.len() * INDEX_BYTES,
                Self::PullMatch { .. } | Self::Seeds { .. } | Self::Push => 0,
            }
    }
}

fn address_bytes(node: NodeId) -> usize {
    let (high, low) = address_words(node.0.ip());
    ADDRESS_BYTES + packed_bytes(high) + packed_bytes(low)
}
