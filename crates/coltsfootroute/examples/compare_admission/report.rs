//! Table of results: medians over the seeds, with the least and the greatest.

use std::{fmt, time::Duration};

use coltsfootroute::importance::Importance;

use crate::{
    model::{CallResult, RunResult},
    scenario::DISTURBED_TO,
};

/// Head of the table.
pub const HEADER: &str = "\
| policy | goodput /s | critical % | high % | normal % | low % | background % | wasted /s | p99 wait ms | spread % | breaches | recovery ms |
|---|---|---|---|---|---|---|---|---|---|---|---|";

/// Length of the windows that recovery is judged by.
const WINDOW: Duration = Duration::from_millis(100);
/// Share of the calls arriving in a window that have to complete: normal goodput.
const NORMAL: f64 = 0.95;

/// The runs of one policy in one scenario.
pub struct Summary {
    name: &'static str,
    columns: Vec<Column>,
}

/// Median, least and greatest over the seeds.
struct Column {
    median: f64,
    least: f64,
    greatest: f64,
}

impl Summary {
    pub fn new(name: &'static str, runs: &[RunResult]) -> Self {
        let mut columns = vec![Column::new(runs, goodput)];
        for importance in Importance::ALL.iter().rev() {
            columns.push(Column::new(runs, |run| completed_percent(run, *importance)));
        }
        columns.push(Column::new(runs, wasted));
        columns.push(Column::new(runs, wait_p99_ms));
        columns.push(Column::new(runs, spread_percent));
        columns.push(Column::new(runs, |run| run.breaches as f64));
        columns.push(Column::new(runs, recovery_ms));
        Self { name, columns }
    }
}

impl fmt::Display for Summary {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "| {} |", self.name)?;
        for column in &self.columns {
            write!(f, " {column} |")?;
        }
        Ok(())
    }
}

impl Column {
    fn new(runs: &[RunResult], value: impl Fn(&RunResult) -> f64) -> Self {
        let mut values: Vec<f64> = runs.iter().map(value).collect();
        values.sort_by(f64::total_cmp);
        Self {
            median: values[values.len() / 2],
            least: values[0],
            greatest: values[values.len() - 1],
        }
    }
}

impl fmt::Display for Column {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:.0} ({:.0}–{:.0})", self.median, self.least, self.greatest)
    }
}

/// Calls a second that arrived in the measured time and completed.
fn goodput(run: &RunResult) -> f64 {
    let completed = measured(run).filter(|call| call.completed);
    completed.count() as f64 / seconds(run)
}

/// Runs a second without a complete answer.
fn wasted(run: &RunResult) -> f64 {
    let wasted = run.wasted.iter().filter(|at| run.measured.contains(*at));
    wasted.count() as f64 / seconds(run)
}

/// Distance of the 10th to the 90th percentile of completed calls by window of arrival, relative to
/// the median: how much goodput oscillates.
fn spread_percent(run: &RunResult) -> f64 {
    let mut windows = vec![0.0; (seconds(run) / WINDOW.as_secs_f64()).ceil() as usize];
    for call in measured(run).filter(|call| call.completed) {
        let index = (call.arrived - run.measured.start).div_duration_f64(WINDOW) as usize;
        windows[index] += 1.0;
    }
    windows.sort_by(f64::total_cmp);
    let at = |percent: usize| windows[windows.len() * percent / 100];
    100.0 * (at(90) - at(10)) / f64::max(at(50), 1.0)
}

fn measured(run: &RunResult) -> impl Iterator<Item = &CallResult> {
    run.calls.iter().filter(|call| run.measured.contains(&call.arrived))
}

fn seconds(run: &RunResult) -> f64 {
    (run.measured.end - run.measured.start).as_secs_f64()
}

/// Share of the calls of `importance` that arrived in the measured time and completed.
fn completed_percent(run: &RunResult, importance: Importance) -> f64 {
    let calls: Vec<_> = measured(run).filter(|call| call.importance == importance).collect();
    let completed = calls.iter().filter(|call| call.completed).count();
    100.0 * completed as f64 / calls.len().max(1) as f64
}

fn wait_p99_ms(run: &RunResult) -> f64 {
    let mut delays = run.queue_delays.clone();
    delays.sort_unstable();
    let index = delays.len() * 99 / 100;
    delays.get(index).map_or(0.0, |delay| *delay as f64 / 1_000.0)
}

/// Time from the end of the disturbance to the end of the last window below normal goodput.
fn recovery_ms(run: &RunResult) -> f64 {
    let mut windows: Vec<(u32, u32)> = Vec::new();
    for call in run.calls.iter().filter(|call| call.arrived >= DISTURBED_TO) {
        let index = (call.arrived - DISTURBED_TO).div_duration_f64(WINDOW) as usize;
        if windows.len() <= index {
            windows.resize(index + 1, (0, 0));
        }
        windows[index].0 += 1;
        windows[index].1 += u32::from(call.completed);
    }
    let is_low = |(all, completed): &(u32, u32)| f64::from(*completed) < NORMAL * f64::from(*all);
    let last_low = windows.iter().rposition(is_low);
    last_low.map_or(0.0, |index| (index + 1) as f64 * WINDOW.as_millis() as f64)
}
