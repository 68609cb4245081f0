//! Processor time of the calling thread.

use std::{fs, io, time::Duration};

/// First field: nanoseconds that the thread was on a processor.
const SCHEDULER_STATISTICS: &str = "/proc/thread-self/schedstat";

/// Reads the processor time that the calling thread has used. Unlike the wall clock, it stands still
/// while other processes have the processor.
///
/// # Errors
///
/// If the system does not keep the statistics, or not in the known form.
pub fn thread_time() -> io::Result<Duration> {
    parse(&fs::read_to_string(SCHEDULER_STATISTICS)?)
        .ok_or_else(|| io::Error::new(io::ErrorKind::InvalidData, "unknown scheduler statistics"))
}

/// The processor time of one line of scheduler statistics.
pub fn parse(text: &str) -> Option<Duration> {
    text.split_ascii_whitespace().next()?.parse().ok().map(Duration::from_nanos)
}

/// Least processor time over which a mean is taken: the system counts it in steps of some milliseconds.
const LEAST_TIME: Duration = Duration::from_millis(400);
const LEAST_BATCH: u32 = 16;

/// Mean processor time of one run of `work`, in microseconds, over enough runs.
///
/// # Errors
///
/// As for [`thread_time`].
pub fn mean_micros(mut work: impl FnMut()) -> io::Result<f64> {
    let begin = thread_time()?;
    let (mut runs, mut batch) = (0_u64, LEAST_BATCH);
    loop {
        (0..batch).for_each(|_| work());
        runs += u64::from(batch);
        batch = batch.saturating_mul(2);
        let used = thread_time()?.saturating_sub(begin);
        if used >= LEAST_TIME {
            return Ok(used.as_secs_f64() * 1e6 / runs as f64);
        }
    }
}

/// Runs `work` and tells its processor time.
///
/// # Errors
///
/// As for [`thread_time`].
pub fn timed<T>(work: impl FnOnce() -> T) -> io::Result<(T, Duration)> {
    let begin = thread_time()?;
    let result = work();
    Ok((result, thread_time()?.saturating_sub(begin)))
}
