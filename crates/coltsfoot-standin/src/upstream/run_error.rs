//! Why a run failed.

/// A run that ends without its answer.
#[derive(Debug, thiserror::Error)]
pub(super) enum RunError {
    /// Failure on command.
    #[error("failure on command")]
    Commanded,
    /// A nested call failed with this reason.
    #[error("nested call of {callee} failed: {reason}")]
    Nested {
        /// Service and operation.
        callee: String,
        /// As the node or the network told.
        reason: String,
    },
    /// Nested calls need a node.
    #[error("no node for nested calls")]
    NoNode,
}
