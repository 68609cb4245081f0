//! Estimate of an upstream's service time.

use std::time::Duration;

use crate::time::MonotonicTime;

/// Largest change of the estimate for one sample, as a share of the estimate.
const STEP_RATIO: f64 = 0.1;
/// Shortest halving interval; for long service times it is twice the estimate. After one interval without a sample the
/// estimate starts to halve once per interval.
const MIN_HALVING_INTERVAL: Duration = Duration::from_millis(500);

/// Running estimate of the median service time.
///
/// The estimate moves towards each sample by a fixed ratio, so it converges to the value with half of
/// the samples on either side. It halves repeatedly while no samples arrive: an estimate so high that
/// every call is refused would otherwise never be corrected.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ServiceTime {
    median_micros: f64,
    last_sample: Option<MonotonicTime>,
}

impl ServiceTime {
    /// Records the service time of a finished call.
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

    /// Records a call that ended without a response. Its service time is longer than `elapsed`, so the
    /// sample is used only if `elapsed` exceeds the estimate.
    pub fn record_unfinished(&mut self, now: MonotonicTime, elapsed: Duration) {
        if elapsed > self.estimate(now) {
            self.record(now, elapsed);
        }
    }

    /// Returns the estimate at `now`; zero before the first sample.
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
