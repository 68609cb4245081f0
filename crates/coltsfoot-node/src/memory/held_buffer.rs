//! Buffer whose memory is held.

use bytes::{Bytes, BytesMut};

use super::{MemoryFull, MemoryHold, MemoryPool, body_charge};

/// Largest buffer for which no memory is held, in bytes: the body of an ordinary request or answer.
const UNHELD_BYTES: usize = 4 * 1024;

/// Buffer for a body whose memory is held, by what it has room for.
pub struct HeldBuffer {
    bytes: BytesMut,
    hold: MemoryHold,
}

impl HeldBuffer {
    /// Creates an empty buffer.
    pub fn new(memory: &MemoryPool) -> Self {
        Self { bytes: BytesMut::new(), hold: memory.hold() }
    }

    /// Returns the number of bytes in the buffer.
    pub fn len(&self) -> usize {
        self.bytes.len()
    }

    /// Returns whether the buffer has no bytes.
    pub fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    /// Makes room for `length` bytes altogether.
    ///
    /// # Errors
    ///
    /// [`MemoryFull`] if there is no room.
    pub fn reserve(&mut self, length: usize) -> Result<(), MemoryFull> {
        if length <= self.bytes.capacity() {
            return Ok(());
        }
        let capacity = length.max(2 * self.bytes.capacity());
        if capacity > UNHELD_BYTES {
            self.hold.raise_to(body_charge(capacity))?;
        }
        self.bytes.reserve(capacity - self.bytes.len());
        Ok(())
    }

    /// Adds `piece`.
    ///
    /// # Errors
    ///
    /// [`MemoryFull`] if there is no room.
    pub fn extend(&mut self, piece: &[u8]) -> Result<(), MemoryFull> {
        self.reserve(self.bytes.len() + piece.len())?;
        self.bytes.extend_from_slice(piece);
        Ok(())
    }

    /// Returns the bytes, whose memory stays held until their last clone is dropped.
    pub fn into_bytes(self) -> Bytes {
        self.hold.with_bytes(self.bytes.freeze())
    }
}
