//! Compares ways to bound the retries of one client request on a call tree.
//!
//! `cargo run --release --example compare_retries` prints the table of `docs/design/retries.md`. Calls
//! of one level run side by side; each run of a call fails by itself with the stated probability, or
//! always at the deepest level in an outage. No time passes.
#![allow(clippy::print_stdout, reason = "a command line program")]

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;

const REQUESTS: u32 = 20_000;
const BUDGET: u32 = 3;

#[derive(Clone, Copy)]
enum Way {
    /// One account for the whole request.
    Account,
    /// Each call passes an even part of its budget down; what is left over comes back in the answer.
    Split,
    /// The whole budget at every hop.
    PerHop,
}

const WAYS: [(Way, &str); 3] =
    [(Way::Account, "account"), (Way::Split, "split in the context"), (Way::PerHop, "per hop")];

struct Shape {
    name: &'static str,
    depth: u32,
    fan_out: u32,
    /// Probability that a run fails by itself.
    failure: f64,
    /// Whether the deepest level always fails.
    outage: bool,
}

const SHAPES: [Shape; 6] = [
    Shape { name: "chain of 4", depth: 4, fan_out: 1, failure: 0.02, outage: false },
    Shape { name: "chain of 28", depth: 28, fan_out: 1, failure: 0.02, outage: false },
    Shape { name: "3 calls, 2 levels", depth: 2, fan_out: 3, failure: 0.02, outage: false },
    Shape { name: "2 calls, 4 levels", depth: 4, fan_out: 2, failure: 0.02, outage: false },
    Shape {
        name: "2 calls, 4 levels, 5 % fail",
        depth: 4,
        fan_out: 2,
        failure: 0.05,
        outage: false,
    },
    Shape { name: "chain of 4, outage", depth: 4, fan_out: 1, failure: 0.0, outage: true },
];

#[derive(Default)]
struct RequestCount {
    runs: u64,
    retries: u32,
    asks: u64,
}

struct Model<'a> {
    shape: &'a Shape,
    way: Way,
    rng: Pcg64,
    account: u32,
    count: RequestCount,
}

impl Model<'_> {
    /// Runs a call at `level` with `budget` tokens of its own; returns whether it succeeded and what
    /// is left of the budget.
    fn run(&mut self, level: u32, budget: u32) -> (bool, u32) {
        self.count.runs += 1;
        if level == self.shape.depth {
            return (!self.shape.outage && !self.fails(), budget);
        }
        let mut left = 0;
        let mut all_succeeded = true;
        for child in 0..self.shape.fan_out {
            let (succeeded, unused) = self.call(level + 1, self.part(budget, child));
            all_succeeded &= succeeded;
            left += unused;
        }
        (all_succeeded && !self.fails(), left)
    }

    /// Calls and retries as the way allows.
    fn call(&mut self, level: u32, mut budget: u32) -> (bool, u32) {
        let mut hop = BUDGET;
        loop {
            let (succeeded, left) = self.run(level, budget);
            budget = left;
            if succeeded || !self.may_retry(&mut budget, &mut hop) {
                return (succeeded, budget);
            }
            self.count.retries += 1;
        }
    }

    fn may_retry(&mut self, budget: &mut u32, hop: &mut u32) -> bool {
        let tokens = match self.way {
            Way::Account => {
                self.count.asks += 1;
                &mut self.account
            }
            Way::Split => budget,
            Way::PerHop => hop,
        };
        let granted = *tokens > 0;
        *tokens = tokens.saturating_sub(1);
        granted
    }

    fn part(&self, budget: u32, child: u32) -> u32 {
        budget / self.shape.fan_out + u32::from(child < budget % self.shape.fan_out)
    }

    fn fails(&mut self) -> bool {
        self.rng.random_bool(self.shape.failure)
    }
}

fn main() {
    println!(
        "| tree | way | completed % | runs a request | most retries | most runs | asks a request |"
    );
    println!("|---|---|---|---|---|---|---|");
    for shape in &SHAPES {
        for (way, way_name) in WAYS {
            print_row(shape, way, way_name);
        }
    }
}

fn print_row(shape: &Shape, way: Way, way_name: &str) {
    let rng = Pcg64::seed_from_u64(1);
    let mut model = Model { shape, way, rng, account: 0, count: RequestCount::default() };
    let (mut completed, mut runs, mut asks, mut most_retries, mut most_runs) = (0, 0, 0, 0, 0);
    for _ in 0..REQUESTS {
        model.account = BUDGET;
        model.count = RequestCount::default();
        let (succeeded, _) = model.call(1, BUDGET);
        completed += u32::from(succeeded);
        runs += model.count.runs;
        asks += model.count.asks;
        most_retries = most_retries.max(model.count.retries);
        most_runs = most_runs.max(model.count.runs);
    }
    let requests = f64::from(REQUESTS);
    println!(
        "| {} | {way_name} | {:.1} | {:.2} | {most_retries} | {most_runs} | {:.2} |",
        shape.name,
        f64::from(completed) * 100.0 / requests,
        runs as f64 / requests,
        asks as f64 / requests,
    );
}
