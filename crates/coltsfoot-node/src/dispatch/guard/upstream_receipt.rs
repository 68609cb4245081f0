//! What the upstream beside the node is told of its word.

/// What the upstream beside the node is told of its word.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpstreamReceipt {
    /// It was taken in. A leave stays known whatever becomes of this node.
    Acknowledged,
    /// Nothing is promised yet: the table service has not told or taken what it takes. The upstream says it again.
    NotAcknowledged,
}
