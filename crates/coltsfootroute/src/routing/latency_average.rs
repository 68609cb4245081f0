//! Moving average of an upstream's latency.

use std::time::Duration;

use crate::time::MonotonicTime;

/// Exponentially weighted average over time that rises at once with a slow call and falls slowly.
///
/// Without new samples it decays towards a baseline, so that an upstream which was slow once and is
/// no longer chosen gets tried again.
#[derive(Clone, Debug, Default)]
pub(super) struct LatencyAverage {
    /// Microseconds; meaningless while `samples` is 0.
    micros: f64,
    updated_at: MonotonicTime,
    samples: u64,
}

impl LatencyAverage {
    /// Samples taken since the upstream's life began.
    pub(super) fn samples(&self) -> u64 {
        self.samples
    }

    /// Takes in the latency of a call that succeeded.
    pub(super) fn record(&mut self, now: MonotonicTime, latency: Duration, window: Duration) {
        let sample = latency.as_micros() as f64;
        if self.samples == 0 {
            self.micros = sample;
        } else {
            let retained = retained_weight(now.since(self.updated_at), window);
            // A call every few microseconds still has to count for something.
            let retained = retained.min(MAX_RETAINED_WEIGHT);
            self.micros = self.micros * retained + sample * (1.0 - retained);
        }
        self.samples += 1;
        self.updated_at = now;
    }

    /// Takes in a call that failed after `latency`: a fast failure must not look like a fast upstream.
    pub(super) fn record_failure(
        &mut self,
        now: MonotonicTime,
        latency: Duration,
        window: Duration,
    ) {
        let floor = Duration::from_micros(self.micros as u64);
        self.record(now, latency.max(floor), window);
    }

    /// Takes in a call that was given up after `latency`: it would have taken at least as long.
    pub(super) fn record_at_least(
        &mut self,
        now: MonotonicTime,
        latency: Duration,
        window: Duration,
    ) {
        if self.samples > 0 && latency.as_micros() as f64 > self.micros {
            self.record(now, latency, window);
        }
    }

    /// The average in microseconds, or `baseline` where there is no sample yet.
    pub(super) fn micros(&self, now: MonotonicTime, window: Duration, baseline: f64) -> f64 {
        if self.samples == 0 {
            return baseline;
        }
        if self.micros <= baseline {
            return self.micros;
        }
        let retained = retained_weight(now.since(self.updated_at), window);
        baseline + (self.micros - baseline) * retained
    }

    /// The average as it stands, without decay; `None` before the first sample.
    pub(super) fn observed(&self) -> Option<f64> {
        (self.samples > 0).then_some(self.micros)
    }
}

/// Most of the old average that one sample leaves.
const MAX_RETAINED_WEIGHT: f64 = 0.95;

fn retained_weight(elapsed: Duration, window: Duration) -> f64 {
    (-elapsed.as_secs_f64() / window.as_secs_f64()).exp()
}
