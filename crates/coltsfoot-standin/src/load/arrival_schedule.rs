//! When which request is due.

use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;

use super::{ArrivalKind, ArrivalProcess, ArrivalWindow, OfferedOperation, SurgeWindow};

/// A request that is due.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DueRequest {
    /// Time from the start of the load.
    pub due: Duration,
    /// Position of its operation in the list offered.
    pub operation: usize,
}

/// The seeded sequence of all requests of a run. It depends on nothing that happens in the run.
#[derive(Clone, Debug)]
pub struct ArrivalSchedule {
    operations: Vec<OfferedOperation>,
    surges: Vec<SurgeWindow>,
    process: ArrivalProcess,
    /// Arrivals outside of `window`.
    calm: ArrivalProcess,
    window: Option<ArrivalWindow>,
    rng: Pcg64,
    now: Duration,
    end: Duration,
}

impl ArrivalSchedule {
    /// Requests for `operations` up to `end`.
    pub fn new(
        operations: Vec<OfferedOperation>,
        surges: Vec<SurgeWindow>,
        kind: ArrivalKind,
        end: Duration,
        seed: u64,
    ) -> Self {
        let mut rng = Pcg64::seed_from_u64(seed);
        let process = ArrivalProcess::new(kind, &mut rng);
        let calm = ArrivalProcess::new(ArrivalKind::Poisson, &mut rng);
        let now = Duration::ZERO;
        Self { operations, surges, process, calm, window: None, rng, now, end }
    }

    /// Limits the kind of arrivals to `window`; outside of it they are Poisson.
    pub fn with_window(mut self, window: Option<ArrivalWindow>) -> Self {
        self.window = window;
        self
    }

    fn next_interval(&mut self) -> f64 {
        let inside = self.window.is_none_or(|window| window.covers(self.now));
        let process = if inside { &mut self.process } else { &mut self.calm };
        process.next_interval(&mut self.rng)
    }

    fn rate_of(&self, operation: &OfferedOperation, time: Duration) -> f64 {
        let factor: f64 = self
            .surges
            .iter()
            .filter(|surge| surge.covers(time) && surge.concerns(&operation.name))
            .map(|surge| surge.factor)
            .product();
        operation.rate * factor
    }

    fn total_rate(&self, time: Duration) -> f64 {
        self.operations.iter().map(|operation| self.rate_of(operation, time)).sum()
    }

    /// The next time after `now` at which a rate may change, at most the end.
    fn next_change(&self) -> Duration {
        let bounds = self.surges.iter().flat_map(|surge| [surge.begin, surge.end]);
        bounds.filter(|bound| *bound > self.now).min().unwrap_or(self.end).min(self.end)
    }

    /// Moves on by `interval` arrivals' worth of time at the rates in force.
    fn advance(&mut self, mut interval: f64) {
        while self.now < self.end {
            let rate = self.total_rate(self.now);
            let change = self.next_change();
            let span = (change - self.now).as_secs_f64();
            if rate * span > interval {
                self.now += Duration::from_secs_f64(interval / rate);
                return;
            }
            interval -= rate * span;
            self.now = change;
        }
    }

    fn draw_operation(&mut self) -> usize {
        let mut point = self.rng.random::<f64>() * self.total_rate(self.now);
        for (index, operation) in self.operations.iter().enumerate() {
            point -= self.rate_of(operation, self.now);
            if point < 0.0 {
                return index;
            }
        }
        self.operations.len() - 1
    }
}

impl Iterator for ArrivalSchedule {
    type Item = DueRequest;

    fn next(&mut self) -> Option<DueRequest> {
        if self.operations.is_empty() {
            return None;
        }
        let interval = self.next_interval();
        self.advance(interval);
        if self.now >= self.end {
            return None;
        }
        let operation = self.draw_operation();
        Some(DueRequest { due: self.now, operation })
    }
}
