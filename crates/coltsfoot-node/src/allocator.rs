//! Global allocator of every program that starts a node.
//!
//! A call allocates large futures and messages of several kilobytes for each hop. The system allocator does not keep
//! blocks above 1 KiB in its per-thread cache, and took a third of a busy node's processor time. The settings of
//! jemalloc, for a process with one busy thread, are in `.cargo/config.toml`.

use tikv_jemallocator::Jemalloc;

#[global_allocator]
static ALLOCATOR: Jemalloc = Jemalloc;
