//! Bytes and allocations of the process, counted by the allocator of the binary.

use stats_alloc::{INSTRUMENTED_SYSTEM, Region};

/// What a piece of work did to the heap. All zero where the process does not use the counting allocator.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HeapUse {
    /// Bytes asked for and not given back, without the allocator's own overhead.
    pub kept_bytes: i64,
    /// Number of allocations.
    pub allocations: u64,
}

/// Runs `work` and tells what it did to the heap; what it returns is still held then.
pub fn metered<T>(work: impl FnOnce() -> T) -> (T, HeapUse) {
    let region = Region::new(&INSTRUMENTED_SYSTEM);
    let result = work();
    let change = region.change();
    // What a reallocation adds or gives back is counted with the other bytes.
    let kept_bytes = change.bytes_allocated as i64 - change.bytes_deallocated as i64;
    let allocations = (change.allocations + change.reallocations) as u64;
    (result, HeapUse { kept_bytes, allocations })
}
