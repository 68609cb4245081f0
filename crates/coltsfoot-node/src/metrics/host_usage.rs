//! What the process takes of its host.

use std::{fs, time::Duration};

use rustix::time::{ClockId, Timespec, clock_gettime};

/// Size of a memory page, in bytes, on the platforms supported.
const PAGE_BYTES: u64 = 4_096;

/// Processor time of the whole process so far.
pub(super) fn process_processor_time() -> Duration {
    to_duration(clock_gettime(ClockId::ProcessCPUTime))
}

/// Processor time of the calling thread so far.
pub(super) fn thread_processor_time() -> Duration {
    to_duration(clock_gettime(ClockId::ThreadCPUTime))
}

/// Resident memory of the process, in bytes; 0 where the system does not tell.
pub(super) fn resident_bytes() -> u64 {
    let Ok(text) = fs::read_to_string("/proc/self/statm") else { return 0 };
    let pages = text.split_ascii_whitespace().nth(1).and_then(|field| field.parse::<u64>().ok());
    pages.unwrap_or(0).saturating_mul(PAGE_BYTES)
}

fn to_duration(time: Timespec) -> Duration {
    // These clocks count from the start of the process or thread: never negative.
    let seconds = u64::try_from(time.tv_sec).unwrap_or(0);
    let nanos = u32::try_from(time.tv_nsec).unwrap_or(0);
    Duration::new(seconds, nanos)
}
