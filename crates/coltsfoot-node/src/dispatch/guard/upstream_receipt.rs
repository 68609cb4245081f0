//! Reply of the node to a heartbeat or leave of the upstream.

/// Reply of the node to a heartbeat or leave of the upstream beside it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpstreamReceipt {
    /// The message was accepted. An acknowledged leave is stored durably and survives this node.
    Acknowledged,
    /// The message is not acknowledged, because the required read or write of the table service has not succeeded. The
    /// upstream sends it again.
    NotAcknowledged,
}
