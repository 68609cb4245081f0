//! Payload of a gossip message: the request or reply that it carries.

use super::{
    GossipKind,
    member_update::{address_words, packed_bytes},
};
use crate::{id::NodeId, name::ServiceName};

/// Bytes of the kind, the index of the service's name and the number of buckets.
const KIND_BYTES: usize = 8;
/// Bytes of an address in addition to its IP: pointer and port.
const ADDRESS_BYTES: usize = 10;
/// Bytes of a list in addition to its entries.
const LIST_BYTES: usize = 8;
/// Bytes of one digest of a bucket.
const DIGEST_BYTES: usize = 5;
/// Bytes of one bucket's index.
const INDEX_BYTES: usize = 3;

record_type! {
    /// Request or reply; the records are in the updates of the message.
    pub enum GossipPayload {
        /// Probe; answered by an [`Ack`](Self::Ack) of the same sequence.
        Ping {
            /// Sequence number chosen by the sender.
            sequence: u64,
        },
        /// `target` answered the probe `sequence`.
        Ack {
            /// Sequence number of the probe.
            sequence: u64,
            /// The node that answered.
            target: NodeId,
        },
        /// Request to probe `target` on behalf of the sender.
        PingRequest {
            /// Sequence number chosen by the requesting node.
            sequence: u64,
            /// The node to probe.
            target: NodeId,
        },
        /// Request to compare the live records of `service` with those of the sender, by digest.
        Pull {
            /// The group.
            service: ServiceName,
            /// XOR of the hashes of the live records.
            digest: u64,
        },
        /// Reply to a pull: the receiver of the pull has the same digest.
        PullMatch {
            /// The group.
            service: ServiceName,
        },
        /// Reply to a pull: the digests differ; carries the digest of each bucket.
        PullBuckets {
            /// The group.
            service: ServiceName,
            /// Digests by bucket, truncated to 32 bits; their number is a power of two.
            digests: Vec<u32>,
        },
        /// Request for the records of some buckets.
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
        /// Reply to a pull from a node outside the group; the updates hold the members that it knows.
        Seeds {
            /// The group.
            service: ServiceName,
        },
        /// Unsolicited updates; the message carries no request or reply.
        Push,
    }
}

impl GossipPayload {
    /// Returns the kind of the message.
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

    /// Returns the service that the message refers to, or `None` if it refers to none.
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

    /// Returns an upper bound of the size on the wire, in bytes, without the service's name.
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
