//! Intervals between arrivals at a rate of one.

use rand::{Rng, RngExt};

use super::ArrivalKind;

/// Distance of the two mean intervals of the mixture from 1: the fast state has 1 − this.
const SPREAD: f64 = 0.8;

/// Draws intervals with mean 1.
#[derive(Clone, Debug)]
pub struct ArrivalProcess {
    kind: ArrivalKind,
    /// State of the Markov chain, or of the last independent draw.
    fast: bool,
}

impl ArrivalProcess {
    /// A process of this kind; the first state of a chain is drawn from its stationary
    /// distribution.
    pub fn new(kind: ArrivalKind, rng: &mut impl Rng) -> Self {
        Self { kind, fast: rng.random() }
    }

    /// The next interval.
    pub fn next_interval(&mut self, rng: &mut impl Rng) -> f64 {
        let uniform: f64 = rng.random();
        let exponential = -(1.0 - uniform).ln();
        exponential * self.next_mean(rng)
    }

    fn next_mean(&mut self, rng: &mut impl Rng) -> f64 {
        match self.kind {
            ArrivalKind::Poisson => return 1.0,
            ArrivalKind::Mixed => self.fast = rng.random(),
            ArrivalKind::Correlated { burst_length } => {
                let leave = 1.0 / f64::from(burst_length.max(1));
                self.fast ^= rng.random::<f64>() < leave;
            }
        }
        if self.fast { 1.0 - SPREAD } else { 1.0 + SPREAD }
    }
}
