//! A part of the memory of the process, held for one request or answer.

use bytes::Bytes;

use super::MemoryPool;

/// There is no room for more bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("no memory left for requests and answers")]
pub struct MemoryFull;

/// A part of the memory of the process, held for one request or answer; released when it is dropped.
pub struct MemoryHold {
    pool: MemoryPool,
    /// Bytes held.
    bytes: usize,
}

impl MemoryHold {
    pub(super) fn new(pool: MemoryPool) -> Self {
        Self { pool, bytes: 0 }
    }

    /// Returns the number of bytes held.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Raises the hold to `bytes`; does nothing if it has as many.
    ///
    /// # Errors
    ///
    /// [`MemoryFull`] if there is no room; the hold is as it was then.
    pub fn raise_to(&mut self, bytes: usize) -> Result<(), MemoryFull> {
        if bytes <= self.bytes {
            return Ok(());
        }
        if !self.pool.try_raise(self.bytes, bytes) {
            return Err(MemoryFull);
        }
        self.bytes = bytes;
        Ok(())
    }

    /// Lowers the hold to `bytes`; does nothing if it has no more.
    pub fn lower_to(&mut self, bytes: usize) {
        if bytes < self.bytes {
            self.pool.release(self.bytes - bytes);
            self.bytes = bytes;
        }
    }

    /// Returns `bytes` such that the hold is released with the last clone of them.
    pub fn with_bytes(self, bytes: Bytes) -> Bytes {
        if self.bytes == 0 {
            return bytes;
        }
        Bytes::from_owner(HeldBytes { bytes, _hold: self })
    }
}

impl Drop for MemoryHold {
    fn drop(&mut self) {
        self.lower_to(0);
    }
}

/// Bytes and the memory that is held for them.
struct HeldBytes {
    bytes: Bytes,
    _hold: MemoryHold,
}

impl AsRef<[u8]> for HeldBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}
