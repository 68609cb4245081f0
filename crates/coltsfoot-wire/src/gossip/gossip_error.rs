//! Errors of the gossip's wire format.

use coltsfootroute::membership::MAX_DATAGRAM_BYTES;

/// Why a datagram could not be read or written. A bad datagram is dropped; it costs nothing else.
#[derive(Debug, thiserror::Error)]
pub enum GossipError {
    /// More bytes than a datagram may have.
    #[error("datagram of {0} bytes, at most {MAX_DATAGRAM_BYTES} are allowed")]
    TooLarge(usize),
    /// Not a message of the schema, or beyond the reader's limits.
    #[error("malformed datagram: {0}")]
    Malformed(#[from] capnp::Error),
    /// A union or enum value of a later version.
    #[error("unknown variant: {0}")]
    UnknownVariant(#[from] capnp::NotInSchema),
    /// A list has more entries than are allowed.
    #[error("too many {0}")]
    TooMany(&'static str),
    /// A name is too long or not UTF-8.
    #[error("bad name")]
    BadName,
    /// A number refers to no name of the datagram, or a name is absent that has to be there.
    #[error("reference to a name that is not in the datagram")]
    MissingName,
    /// The number of buckets is not a power of two within its bound, or an index lies beyond it.
    #[error("bad bucket count or index")]
    BadBucket,
}
