//! Errors at the start of the store client.

use std::io;

/// Error that prevents the store client from starting.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// The thread or its runtime could not be started.
    #[error("store thread: {0}")]
    Thread(#[from] io::Error),
}
