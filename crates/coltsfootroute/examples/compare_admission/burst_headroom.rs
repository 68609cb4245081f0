//! A tried policy: lower utilisation while arrivals are autocorrelated.
//!
//! After E. Smirni, Q. Zhang, N. Mi, A. Riska, G. Casale, "New Results on the Performance Effects of
//! Autocorrelated Flows in Systems", 2007.

use std::{cell::Cell, collections::VecDeque, rc::Rc, time::Duration};

use coltsfootroute::{
    admission::{ConcurrencyLimit, FinishSample},
    time::MonotonicTime,
};

/// Length of one count of arrivals.
const WINDOW: Duration = Duration::from_millis(50);
/// Counts that the autocorrelation is taken over.
const WINDOWS: usize = 60;
/// Autocorrelation at lag 1 from which arrivals count as bursty.
const THRESHOLD: f64 = 0.3;
/// Share of the limit used while arrivals are bursty.
const HEADROOM: f64 = 0.85;

/// Detects autocorrelation in counts of arrivals.
#[derive(Default)]
pub struct BurstDetector {
    counts: VecDeque<f64>,
    window: u128,
    factor: Rc<Cell<f64>>,
}

impl BurstDetector {
    pub fn new() -> Self {
        Self { factor: Rc::new(Cell::new(1.0)), ..Self::default() }
    }

    /// The share of the limit to use, kept up to date.
    pub fn factor(&self) -> Rc<Cell<f64>> {
        self.factor.clone()
    }

    pub fn on_arrival(&mut self, now: Duration) {
        let window = now.as_micros() / WINDOW.as_micros();
        while self.window < window || self.counts.is_empty() {
            self.window += u128::from(!self.counts.is_empty());
            self.counts.push_back(0.0);
            if self.counts.len() > WINDOWS {
                self.counts.pop_front();
            }
            self.factor.set(if self.autocorrelation() > THRESHOLD { HEADROOM } else { 1.0 });
        }
        if let Some(count) = self.counts.back_mut() {
            *count += 1.0;
        }
    }

    fn autocorrelation(&self) -> f64 {
        if self.counts.len() < WINDOWS {
            return 0.0;
        }
        let mean = self.counts.iter().sum::<f64>() / self.counts.len() as f64;
        let variance: f64 = self.counts.iter().map(|count| (count - mean).powi(2)).sum();
        let pairs = self.counts.iter().zip(self.counts.iter().skip(1));
        let covariance: f64 = pairs.map(|(a, b)| (a - mean) * (b - mean)).sum();
        covariance / variance.max(1.0)
    }
}

/// A limit that uses only a share of another.
pub struct HeadroomLimit<L> {
    inner: L,
    factor: Rc<Cell<f64>>,
}

impl<L> HeadroomLimit<L> {
    pub fn new(inner: L, factor: Rc<Cell<f64>>) -> Self {
        Self { inner, factor }
    }
}

impl<L: ConcurrencyLimit> ConcurrencyLimit for HeadroomLimit<L> {
    fn limit(&self) -> u32 {
        ((f64::from(self.inner.limit()) * self.factor.get()) as u32).max(1)
    }

    fn on_finish(&mut self, now: MonotonicTime, sample: &FinishSample) {
        self.inner.on_finish(now, sample);
    }

    fn set_ceiling(&mut self, slots: u32) {
        self.inner.set_ceiling(slots);
    }
}
