//! Summary of a run.

use std::time::Duration;

use coltsfootroute::{
    importance::Importance,
    outcome::{CallOutcome, RefusalReason},
};
use hdrhistogram::Histogram;
use indexmap::IndexMap;

use super::{
    ImportanceTally, OfferedOperation, ProbeReport, attempt_result::AttemptResult,
    request_outcome::RequestOutcome,
};

/// Longest latency that the histogram tells apart, microseconds.
const MAX_LATENCY_US: u64 = 120_000_000;
/// Name in [`LoadReport::refusals`] of what is no known reason.
const OTHER_REASON: &str = "other";
/// Significant digits of the histogram.
const LATENCY_DIGITS: u8 = 3;

/// Totals of a run.
#[derive(Clone, Debug, Default, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct LoadReport {
    /// Requests due.
    pub offered: u64,
    /// Requests completed.
    pub completed: u64,
    /// Requests refused with no part run.
    pub refused_not_run: u64,
    /// Requests that may have run.
    pub unknown: u64,
    /// Completed requests a second.
    pub goodput_per_s: f64,
    /// Attempts in all.
    pub attempts: u64,
    /// Attempts whose connection ended before the whole answer was there.
    pub interrupted: u64,
    /// Attempts without an answer in time.
    pub timed_out: u64,
    /// Attempts never sent.
    pub not_sent: u64,
    /// Answers that were not the request's own, or not complete.
    pub wrong_answers: u64,
    /// Failures that named no outcome.
    pub without_outcome: u64,
    /// Refused or failed attempts by importance and reason; `other` where the body names none
    /// of the known reasons.
    pub refusals: IndexMap<Importance, IndexMap<String, u64>>,
    /// Service time behind completed requests, milliseconds.
    pub useful_ms: u64,
    /// Median latency of completed requests from when they were due, milliseconds.
    pub p50_ms: f64,
    /// 99th percentile of the same.
    pub p99_ms: f64,
    /// Requests by importance.
    pub by_importance: IndexMap<Importance, ImportanceTally>,
    /// Requests by importance that were due in the part asked for.
    pub focus_by_importance: IndexMap<Importance, ImportanceTally>,
    /// Requests by operation.
    pub by_operation: IndexMap<String, ImportanceTally>,
    /// Paired probe, if there was one.
    pub probe: Option<ProbeReport>,
}

/// Gathers a [`LoadReport`].
pub(super) struct ReportBuilder {
    report: LoadReport,
    useful: Duration,
    latencies: Histogram<u64>,
}

impl ReportBuilder {
    pub(super) fn new() -> Self {
        // Constant bounds that the histogram accepts.
        let latencies = Histogram::new_with_max(MAX_LATENCY_US, LATENCY_DIGITS)
            .expect("the bounds of the histogram are valid");
        Self { report: LoadReport::default(), useful: Duration::ZERO, latencies }
    }

    /// A request of `operation` became due.
    pub(super) fn count_offered(&mut self, operation: &OfferedOperation) {
        self.report.offered += 1;
        self.report.by_importance.entry(operation.importance).or_default().offered += 1;
        let tallies = &mut self.report.by_operation;
        tallies.entry(operation.name.clone()).or_default().offered += 1;
    }

    /// A request of `operation` ended.
    pub(super) fn count_outcome(&mut self, operation: &OfferedOperation, end: &RequestOutcome) {
        let outcome = end.outcome();
        match outcome {
            CallOutcome::Completed => self.report.completed += 1,
            CallOutcome::NotRun => self.report.refused_not_run += 1,
            CallOutcome::Unknown => self.report.unknown += 1,
        }
        self.report.by_importance.entry(operation.importance).or_default().count(outcome);
        let tallies = &mut self.report.by_operation;
        tallies.entry(operation.name.clone()).or_default().count(outcome);
        if outcome == CallOutcome::Completed {
            self.latencies.saturating_record(as_us(end.latency));
        }
        for result in &end.attempts {
            self.count_attempt(*result);
            self.count_reason(operation.importance, *result);
        }
    }

    /// A request due in the part asked for ended.
    pub(super) fn count_focus(&mut self, importance: Importance, outcome: CallOutcome) {
        let tally = self.report.focus_by_importance.entry(importance).or_default();
        tally.offered += 1;
        tally.count(outcome);
    }

    fn count_reason(&mut self, importance: Importance, result: AttemptResult) {
        let (AttemptResult::NotRun { reason, .. } | AttemptResult::Unknown { reason, .. }) = result
        else {
            return;
        };
        let reasons = self.report.refusals.entry(importance).or_default();
        let name = reason.map_or(OTHER_REASON, RefusalReason::as_str);
        *reasons.entry(name.to_owned()).or_default() += 1;
    }

    fn count_attempt(&mut self, result: AttemptResult) {
        let report = &mut self.report;
        report.attempts += 1;
        match result {
            AttemptResult::Completed { work_us } => self.useful += Duration::from_micros(work_us),
            AttemptResult::Interrupted => report.interrupted += 1,
            AttemptResult::TimedOut => report.timed_out += 1,
            AttemptResult::NotSent => report.not_sent += 1,
            AttemptResult::WrongAnswer => report.wrong_answers += 1,
            AttemptResult::WithoutOutcome => report.without_outcome += 1,
            AttemptResult::NotRun { .. } | AttemptResult::Unknown { .. } => {}
        }
    }

    /// The report of a run over `elapsed`.
    pub(super) fn build(mut self, elapsed: Duration, probe: Option<ProbeReport>) -> LoadReport {
        self.report.goodput_per_s = self.report.completed as f64 / elapsed.as_secs_f64();
        self.report.useful_ms = u64::try_from(self.useful.as_millis()).unwrap_or(u64::MAX);
        self.report.p50_ms = self.latencies.value_at_quantile(0.50) as f64 / 1000.0;
        self.report.p99_ms = self.latencies.value_at_quantile(0.99) as f64 / 1000.0;
        self.report.probe = probe;
        self.report
    }
}

fn as_us(time: Duration) -> u64 {
    u64::try_from(time.as_micros()).unwrap_or(u64::MAX)
}
