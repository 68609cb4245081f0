//! Limit on the log lines of single requests.

use std::time::{Duration, Instant};

use coltsfootroute::{
    event::{EventKind, EventRecord},
    outcome::CallOutcome,
    table::TokenBucket,
    time::MonotonicTime,
};
use log::LevelFilter;

/// Lines per second of requests that failed or were refused, of their attempts and retries: 30 KB per second at 300 bytes
/// per line.
const FAILURES_PER_S: f64 = 100.0;
/// Burst of such lines.
const FAILURES_BURST: f64 = 300.0;
/// Lines per second of successful requests: a sample that shows what is usual.
const SUCCESSES_PER_S: f64 = 5.0;
/// Burst of such lines.
const SUCCESSES_BURST: f64 = 10.0;
/// Shortest time between two reports of omitted lines.
const REPORT_PERIOD: Duration = Duration::from_secs(1);

/// Limits the log lines of single requests; all other lines are written.
pub(super) struct LineBudget {
    origin: Instant,
    failures: TokenBucket,
    successes: TokenBucket,
    left_out: LeftOut,
    reported: Instant,
}

/// Numbers of lines omitted since the last report.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct LeftOut {
    pub(super) failures: u64,
    pub(super) successes: u64,
}

impl LineBudget {
    /// Creates a budget with its bursts available.
    pub(super) fn new() -> Self {
        let now = Instant::now();
        Self {
            origin: now,
            failures: TokenBucket::new(FAILURES_PER_S, FAILURES_BURST),
            successes: TokenBucket::new(SUCCESSES_PER_S, SUCCESSES_BURST),
            left_out: LeftOut::default(),
            reported: now,
        }
    }

    /// Returns whether to log the record.
    pub(super) fn admits(&mut self, record: &EventRecord) -> bool {
        // At level `debug` every line is wanted.
        if record.kind.request().is_none() || log::max_level() > LevelFilter::Info {
            return true;
        }
        let now = MonotonicTime::ZERO + self.origin.elapsed();
        let (bucket, left_out) = match is_success(&record.kind) {
            true => (&mut self.successes, &mut self.left_out.successes),
            false => (&mut self.failures, &mut self.left_out.failures),
        };
        let admitted = bucket.acquire(now, 0.0, Duration::ZERO).is_some();
        *left_out += u64::from(!admitted);
        admitted
    }

    /// Returns the omitted lines if a report is due.
    pub(super) fn due_report(&mut self) -> Option<LeftOut> {
        if self.left_out == LeftOut::default() || self.reported.elapsed() < REPORT_PERIOD {
            return None;
        }
        self.reported = Instant::now();
        Some(std::mem::take(&mut self.left_out))
    }
}

fn is_success(kind: &EventKind) -> bool {
    match kind {
        EventKind::RequestCompleted { .. }
        | EventKind::RequestAdmitted { .. }
        | EventKind::AttemptStarted { .. } => true,
        EventKind::AttemptFinished { outcome, .. } => *outcome == CallOutcome::Completed,
        _ => false,
    }
}
