//! Allocator of every program that starts a node.
//!
//! A call makes large futures and messages of several kilobytes for each hop. The system's allocator keeps blocks above
//! 1 KiB in no cache of the thread: a third of a busy node's processor time went there. Its settings, chosen for a
//! process with one busy thread, stand in `.cargo/config.toml`.

use tikv_jemallocator::Jemalloc;

#[global_allocator]
static ALLOCATOR: Jemalloc = Jemalloc;
