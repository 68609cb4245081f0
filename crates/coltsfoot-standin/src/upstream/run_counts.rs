//! Counting of runs.

use std::{fs::File, io::Write, time::Duration};

use indexmap::IndexMap;

use super::CountsReport;

/// Counters of one upstream since its start.
#[derive(Debug, Default)]
pub(super) struct RunCounts {
    report: CountsReport,
    service_time: Duration,
    wasted_time: Duration,
    /// Runs of each key of a non-repeatable operation.
    keys: IndexMap<String, u32>,
    run_log: Option<File>,
}

impl RunCounts {
    /// Counters at nought; each run under a key adds a line to `run_log`.
    pub(super) fn new(run_log: Option<File>) -> Self {
        Self { run_log, ..Self::default() }
    }

    /// A run starts; `key` is given where it must not run twice.
    pub(super) fn start_run(&mut self, operation: &str, key: Option<&str>, leaving: bool) {
        self.report.runs += 1;
        self.report.running += 1;
        self.report.runs_after_leave += u64::from(leaving);
        if let Some(key) = key {
            self.count_key(key);
            self.log_run(operation, key);
        }
    }

    /// Unbuffered, so that the line outlives the process.
    fn log_run(&mut self, operation: &str, key: &str) {
        if let Some(file) = &mut self.run_log {
            // A full disk costs lines of a development tool, not runs.
            let _ = file.write_all(format!("{operation} {key}\n").as_bytes());
        }
    }

    fn count_key(&mut self, key: &str) {
        let runs = self.keys.entry(key.to_owned()).or_insert(0);
        *runs += 1;
        self.report.max_runs_per_key = self.report.max_runs_per_key.max(*runs);
        if *runs != 2 {
            return;
        }
        self.report.double_run_keys += 1;
        if self.report.double_runs.len() < CountsReport::MAX_LISTED {
            self.report.double_runs.push(key.to_owned());
        }
    }

    /// A run ended with an answer.
    pub(super) fn end_run(&mut self, completed: bool) {
        self.report.running -= 1;
        if completed {
            self.report.completed += 1;
        } else {
            self.report.failed += 1;
        }
    }

    /// A run was stopped after `elapsed`.
    pub(super) fn cancel_run(&mut self, elapsed: Duration) {
        self.report.running -= 1;
        self.report.cancelled += 1;
        self.wasted_time += elapsed;
    }

    /// A call was shed.
    pub(super) fn count_shed(&mut self) {
        self.report.shed += 1;
    }

    /// A run spent `elapsed` at its own work.
    pub(super) fn add_service_time(&mut self, elapsed: Duration) {
        self.service_time += elapsed;
    }

    /// Runs at work now.
    pub(super) fn running(&self) -> u64 {
        self.report.running
    }

    /// The counters, with `queued` calls waiting.
    pub(super) fn report(&self, queued: u64) -> CountsReport {
        let mut report = self.report.clone();
        report.queued = queued;
        report.service_ms = as_ms(self.service_time);
        report.wasted_ms = as_ms(self.wasted_time);
        report
    }
}

fn as_ms(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
