//! Estimate of an upstream's service time.

use std::time::Duration;

use crate::time::MonotonicTime;

/// Step of the estimate for one sample, relative to the estimate.
const STEP_RATIO: f64 = 0.1;
/// Without a sample for this long, and for twice the estimate, the estimate starts to halve.
const MIN_HALVING_INTERVAL: Duration = Duration::from_millis(500);

/// Running estimate of the median service time.
///
/// Moves by a fixed ratio towards each sample, which settles where half of the samples lie on
/// either side, and halves again and again while no samples come: an estimate that refuses every
/// call would otherwise never be corrected.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ServiceTime {
    median_micros: f64,
    last_sample: Option<MonotonicTime>,
}

impl ServiceTime {
    /// Takes in the service time of a finished call.
    pub fn record(&mut self, now: MonotonicTime, service_time: Duration) {
        let sample = service_time.as_micros() as f64;
        let median = self.estimate_micros(now);
        self.median_micros = if self.last_sample.is_none() || median < 1.0 {
            sample
        } else if sample > median {
            (median * (1.0 + STEP_RATIO)).min(sample)
        } else {
            (median * (1.0 - STEP_RATIO)).max(sample)
        };
        self.last_sample = Some(now);
    }

    /// Takes in a call that was given up without an answer: its service time is longer than
    /// `elapsed`, which tells something only if that is longer than the estimate.
    pub fn record_unfinished(&mut self, now: MonotonicTime, elapsed: Duration) {
        if elapsed > self.estimate(now) {
            self.record(now, elapsed);
        }
    }

    /// The estimate; zero before the first sample.
    pub fn estimate(&self, now: MonotonicTime) -> Duration {
        Duration::from_micros(self.estimate_micros(now) as u64)
    }

    fn estimate_micros(&self, now: MonotonicTime) -> f64 {
        let Some(last) = self.last_sample else { return 0.0 };
        let age = now.since(last).as_micros() as f64;
        let halving_interval =
            (2.0 * self.median_micros).max(MIN_HALVING_INTERVAL.as_micros() as f64);
        if age <= halving_interval {
            return self.median_micros;
        }
        self.median_micros * (1.0 - age / halving_interval).exp2()
    }
}
