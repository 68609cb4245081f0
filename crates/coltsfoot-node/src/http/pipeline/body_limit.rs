//! Largest body of a request, which may change while a listener runs.

use std::sync::{
    Arc,
    atomic::{AtomicUsize, Ordering},
};

/// Largest body of a request in bytes, which may change while a listener runs; clones share it.
#[derive(Clone, Debug)]
pub struct BodyLimit {
    bytes: Arc<AtomicUsize>,
}

impl BodyLimit {
    /// Creates a limit of `bytes`.
    pub fn new(bytes: usize) -> Self {
        Self { bytes: Arc::new(AtomicUsize::new(bytes)) }
    }

    /// Changes the limit for requests whose head has not been read.
    pub fn set(&self, bytes: usize) {
        self.bytes.store(bytes, Ordering::Relaxed);
    }

    /// Returns the limit in bytes.
    pub fn get(&self) -> usize {
        self.bytes.load(Ordering::Relaxed)
    }
}
