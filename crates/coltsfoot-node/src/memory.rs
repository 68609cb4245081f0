//! Memory in which the node holds requests and answers, bounded over the whole process.

mod held_buffer;
mod memory_hold;
mod memory_pool;
mod memory_usage;

pub use held_buffer::HeldBuffer;
pub use memory_hold::{MemoryFull, MemoryHold};
pub use memory_pool::MemoryPool;
pub use memory_usage::MemoryUsage;

use coltsfootroute::constants::MAX_BODY_BYTES;

/// Returns the memory that a body of `length` bytes takes, in bytes: up to [`MAX_BODY_BYTES`] of it are copied to a message
/// between nodes or to the buffer of a connection.
pub fn body_charge(length: usize) -> usize {
    length + length.min(MAX_BODY_BYTES)
}
