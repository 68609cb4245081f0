//! Estimate of the time that one operation takes.

use std::time::Duration;

use crate::time::MonotonicTime;

/// Decaying histogram of times, with a fixed number of logarithmic buckets of 4 bytes each.
///
/// Counts are halved once per half-life. If nothing is recorded for a while, for example because every
/// call is refused for its deadline, the estimate becomes unknown and calls are admitted again. An
/// estimate that is too high is thus corrected.
#[derive(Clone, Debug)]
pub struct TimeEstimate {
    counts: [u32; BUCKETS],
    total: u64,
    decayed_at: MonotonicTime,
}

/// Number of buckets. Each bound is a quarter larger than the one before, from 50 microseconds to about a minute.
const BUCKETS: usize = 64;
/// Upper bound of the first bucket, in microseconds.
const FIRST_BUCKET_MICROS: f64 = 50.0;
/// Ratio of a bucket's upper bound to that of the previous bucket.
const BUCKET_RATIO: f64 = 1.25;
/// Count added by one sample; larger than 1 so that fractions of a sample remain after halving.
const SAMPLE_WEIGHT: u32 = 256;
/// Smallest number of samples, after decay, for which an estimate is given.
const MIN_SAMPLES: u64 = 8;
/// Time in which the weight of a sample halves.
const HALF_LIFE: Duration = Duration::from_secs(1);
/// Number of halvings after which every count is zero.
const MAX_HALVINGS: u64 = 32;

impl TimeEstimate {
    /// Creates an estimate without samples.
    pub fn new(now: MonotonicTime) -> Self {
        Self { counts: [0; BUCKETS], total: 0, decayed_at: now }
    }

    /// Records the time of a call that ended at `now`.
    pub fn record(&mut self, now: MonotonicTime, time: Duration) {
        self.decay(now);
        let count = &mut self.counts[bucket_of(time)];
        *count = count.saturating_add(SAMPLE_WEIGHT);
        self.total += u64::from(SAMPLE_WEIGHT);
    }

    /// Returns a lower bound of the percentile `percent` of the call times; `None` if there are too few samples.
    pub fn quantile(&mut self, now: MonotonicTime, percent: u32) -> Option<Duration> {
        self.quantile_bucket(now, percent).map(lower_bound)
    }

    /// Returns an upper bound of the percentile `percent` of the call times, at most a quarter above it; `None` if there
    /// are too few samples.
    pub fn upper_quantile(&mut self, now: MonotonicTime, percent: u32) -> Option<Duration> {
        self.quantile_bucket(now, percent).map(|bucket| lower_bound(bucket + 1))
    }

    fn quantile_bucket(&mut self, now: MonotonicTime, percent: u32) -> Option<usize> {
        self.decay(now);
        if self.total < MIN_SAMPLES * u64::from(SAMPLE_WEIGHT) {
            return None;
        }
        let wanted = self.total * u64::from(percent.min(100)) / 100;
        let mut below = 0;
        for (bucket, &count) in self.counts.iter().enumerate() {
            below += u64::from(count);
            if count > 0 && below >= wanted {
                return Some(bucket);
            }
        }
        None
    }

    fn decay(&mut self, now: MonotonicTime) {
        let half_life = HALF_LIFE.as_micros() as u64;
        let halvings = now.0.saturating_sub(self.decayed_at.0) / half_life;
        if halvings == 0 {
            return;
        }
        self.decayed_at.0 += halvings * half_life;
        let shift = halvings.min(MAX_HALVINGS) as u32;
        for count in &mut self.counts {
            *count = count.checked_shr(shift).unwrap_or(0);
        }
        self.total = self.counts.iter().map(|&count| u64::from(count)).sum();
    }
}

fn bucket_of(time: Duration) -> usize {
    let micros = time.as_micros() as f64;
    if micros <= FIRST_BUCKET_MICROS {
        return 0;
    }
    let bucket = (micros / FIRST_BUCKET_MICROS).log(BUCKET_RATIO).ceil() as usize;
    bucket.min(BUCKETS - 1)
}

/// Returns the lower bound of a bucket, so that a call is refused only if it really takes longer.
fn lower_bound(bucket: usize) -> Duration {
    if bucket == 0 {
        return Duration::ZERO;
    }
    let micros = FIRST_BUCKET_MICROS * BUCKET_RATIO.powi(bucket as i32 - 1);
    Duration::from_micros(micros as u64)
}
