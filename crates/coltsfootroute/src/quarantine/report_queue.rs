//! Reports of crashes that wait to be sent to other nodes.

use std::{collections::VecDeque, time::Duration};

use super::{CrashReport, MAX_SUSPECTS};
use crate::{table::TokenBucket, time::MonotonicTime};

/// Size of the largest report with the message around it, in bytes.
const MAX_REPORT_BYTES: u32 = REPORT_BYTES + SUSPECT_BYTES * MAX_SUSPECTS as u32;
/// Size of a report without suspects, with the message around it, in bytes.
const REPORT_BYTES: u32 = 128;
/// Size of a suspect in a report, in bytes.
const SUSPECT_BYTES: u32 = 16;
/// Bytes of reports per second, each counted once however many nodes it goes to: two queues that send to four nodes each are
/// within a node's budget of 4 KB/s for control traffic.
const BYTES_PER_S: f64 = 435.0;
/// Most bytes of reports in a burst: 16 of the largest, as when a failure domain is lost, which no request has caused.
const BURST_BYTES: f64 = 16.0 * MAX_REPORT_BYTES as f64;
/// Time between two looks at the reports that wait.
pub const REPORT_PERIOD: Duration = Duration::from_millis(250);
/// Most reports that wait: as many as a node keeps.
const MAX_WAITING: usize = 128;

/// Reports of crashes that wait to be sent to other nodes, within a budget of bytes.
///
/// A report that does not fit the budget now is sent later: each one that other nodes never hear of lets a request crash
/// further upstreams before it is held back.
#[derive(Clone, Debug)]
pub struct ReportQueue {
    budget: TokenBucket,
    /// Reports with the time at which their age applies, oldest first. Invariant: at most [`MAX_WAITING`].
    waiting: VecDeque<(MonotonicTime, CrashReport)>,
}

impl ReportQueue {
    /// Creates an empty queue with a full budget.
    pub fn new() -> Self {
        Self { budget: TokenBucket::new(BYTES_PER_S, BURST_BYTES), waiting: VecDeque::new() }
    }

    /// Adds a report; drops the one that has waited longest if there are too many.
    pub fn push(&mut self, now: MonotonicTime, report: CrashReport) {
        if self.waiting.len() >= MAX_WAITING {
            self.waiting.pop_front();
        }
        self.waiting.push_back((now, report));
    }

    /// Removes and returns the reports that fit the budget now, with their age now.
    pub fn take_due(&mut self, now: MonotonicTime) -> Vec<CrashReport> {
        let mut due = Vec::new();
        while let Some((_, report)) = self.waiting.front() {
            if !self.budget.try_acquire_all(now, report_bytes(report)) {
                break;
            }
            if let Some((since, report)) = self.waiting.pop_front() {
                due.push(CrashReport { age: report.age + now.since(since), ..report });
            }
        }
        due
    }

    /// Returns whether reports wait.
    pub fn has_waiting(&self) -> bool {
        !self.waiting.is_empty()
    }
}

impl Default for ReportQueue {
    fn default() -> Self {
        Self::new()
    }
}

fn report_bytes(report: &CrashReport) -> u32 {
    let suspects = u32::try_from(report.suspects.len().min(MAX_SUSPECTS)).unwrap_or(u32::MAX);
    REPORT_BYTES + SUSPECT_BYTES * suspects
}
