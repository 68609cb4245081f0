//! Use of the host by the process.

use std::{fs, time::Duration};

use rustix::time::ClockId;

use crate::clock::read_clock;

/// Size of a memory page, in bytes, on the platforms supported.
const PAGE_BYTES: u64 = 4_096;

/// Returns the processor time of the whole process so far.
pub(super) fn process_processor_time() -> Duration {
    read_clock(ClockId::ProcessCPUTime)
}

/// Returns the processor time of the calling thread so far.
pub(super) fn thread_processor_time() -> Duration {
    read_clock(ClockId::ThreadCPUTime)
}

/// Returns the resident memory of the process in bytes; 0 if the system does not report it.
pub(super) fn resident_bytes() -> u64 {
    let Ok(text) = fs::read_to_string("/proc/self/statm") else { return 0 };
    let pages = text.split_ascii_whitespace().nth(1).and_then(|field| field.parse::<u64>().ok());
    pages.unwrap_or(0).saturating_mul(PAGE_BYTES)
}
