//! Moving average of an upstream's latency.

use std::time::Duration;

use crate::time::MonotonicTime;

/// Time-based exponentially weighted moving average of latency.
///
/// Without new samples it decays towards a baseline, so that an upstream that was slow and is therefore no longer
/// chosen is tried again.
#[derive(Clone, Debug, Default)]
pub(super) struct LatencyAverage {
    /// Average in microseconds; meaningless while `samples` is 0.
    micros: f64,
    updated_at: MonotonicTime,
    samples: u64,
}

impl LatencyAverage {
    /// Returns the number of samples in this incarnation of the upstream, or since it returned from an ejection.
    pub(super) fn samples(&self) -> u64 {
        self.samples
    }

    /// Records the latency of a successful call.
    pub(super) fn record(&mut self, now: MonotonicTime, latency: Duration, window: Duration) {
        let sample = latency.as_micros() as f64;
        if self.samples == 0 {
            self.micros = sample;
        } else {
            let retained = retained_weight(now.since(self.updated_at), window);
            // Samples that are only microseconds apart would otherwise have almost no weight.
            let retained = retained.min(MAX_RETAINED_WEIGHT);
            self.micros = self.micros * retained + sample * (1.0 - retained);
        }
        self.samples += 1;
        self.updated_at = now;
    }

    /// Records a call that failed after `latency`, or the current average if that is higher: a fast failure must
    /// not make the upstream look fast.
    pub(super) fn record_failure(
        &mut self,
        now: MonotonicTime,
        latency: Duration,
        window: Duration,
    ) {
        let floor = Duration::from_micros(self.micros as u64);
        self.record(now, latency.max(floor), window);
    }

    /// Records a call that was cancelled after `latency`, which is a lower bound of its real latency. Ignored before
    /// the first sample and unless it raises the average.
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

    /// Returns the average in microseconds, decayed towards `baseline`; `baseline` before the first sample.
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

    /// Returns the average in microseconds without decay; `None` before the first sample.
    pub(super) fn observed(&self) -> Option<f64> {
        (self.samples > 0).then_some(self.micros)
    }
}

/// Largest weight, 0 to 1, that the old average keeps when a sample is added.
const MAX_RETAINED_WEIGHT: f64 = 0.95;

fn retained_weight(elapsed: Duration, window: Duration) -> f64 {
    (-elapsed.as_secs_f64() / window.as_secs_f64()).exp()
}
