//! Errors of the store client's start.

use std::io;

/// Why the store client did not start.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// The thread or its runtime could not be started.
    #[error("store thread: {0}")]
    Thread(#[from] io::Error),
}
