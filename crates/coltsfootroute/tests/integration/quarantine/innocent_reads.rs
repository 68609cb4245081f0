//! Tests of the load under which harmless requests are most likely to be quarantined.
//!
//! Three upstreams of one service have up to 120 calls in flight each. A read that many callers repeat is in flight at
//! all three whenever they crash, but does not cause it: a rack loses power, or another request is fatal. The tests
//! count how many of its callers are refused by the threshold of three crashes alone, and by the threshold together
//! with the record of recently answered requests.

use std::time::Duration;

use coltsfootroute::{
    quarantine::{
        AnsweredRequests, CrashId, CrashReport, FingerprintParts, QuarantineRegister,
        QuarantineUpdate, QuarantineVerdict, RequestFingerprint,
    },
    time::MonotonicTime,
};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use rstest::rstest;

const START: MonotonicTime = MonotonicTime::from_millis(100_000_000);
const UPSTREAMS: usize = 3;
/// Length of a step; the popular read arrives once in each step at each upstream.
const STEP: Duration = Duration::from_millis(50);
/// Duration of one run, in steps.
const RUN_STEPS: u64 = 3;
/// Time for which a crashed upstream is down, in steps.
const AWAY_STEPS: u64 = 60;
/// Other calls that arrive in each step at each upstream; each is a request that no other caller sends.
const OTHERS: u64 = 5;

/// Cause of the crashes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum EndCause {
    /// An external cause that affects all upstreams at the same time.
    Outside,
    /// A fatal request that is sent again as soon as upstreams are back.
    Request,
}

struct Upstream {
    /// Steps until the upstream is back.
    away: u64,
    /// Requests in flight, with the step in which they are answered.
    running: Vec<(String, u64)>,
    answered: AnsweredRequests,
}

#[derive(Debug, Default)]
struct Tally {
    /// Number of calls of the popular read.
    popular: u64,
    /// Calls of the popular read that were refused.
    popular_held: u64,
    /// Other calls that were refused.
    others_held: u64,
    /// Runs of the fatal request.
    fatal_runs: u64,
}

fn parts(target: &str) -> FingerprintParts<'_> {
    FingerprintParts {
        method: b"GET",
        host: b"a.example",
        target: target.as_bytes(),
        credential: b"",
        body: b"",
    }
}

const POPULAR: &str = "/catalogue";
const FATAL: &str = "/fatal";

struct Load {
    register: QuarantineRegister,
    upstreams: Vec<Upstream>,
    rng: Pcg64,
    /// Whether the record of recently answered requests is used.
    remembers: bool,
    crashes: u64,
    serial: u64,
    tally: Tally,
}

impl Load {
    fn new(remembers: bool) -> Self {
        let upstream = |index| Upstream {
            away: 0,
            running: Vec::new(),
            answered: AnsweredRequests::new(index, START),
        };
        Self {
            register: QuarantineRegister::default(),
            upstreams: (0..UPSTREAMS as u64).map(upstream).collect(),
            rng: Pcg64::seed_from_u64(11),
            remembers,
            crashes: 0,
            serial: 0,
            tally: Tally::default(),
        }
    }

    /// Runs one step: answers, arrivals and crashes.
    fn step(&mut self, step: u64, cause: EndCause) {
        let now = START + STEP * u32::try_from(step).expect("a short run");
        for index in 0..UPSTREAMS {
            if self.upstreams[index].away > 0 {
                self.upstreams[index].away -= 1;
                continue;
            }
            self.answer(now, step, index);
            self.arrive(now, step, index, POPULAR.to_owned());
            for _ in 0..OTHERS {
                self.serial += 1;
                self.arrive(now, step, index, format!("/one/{}", self.serial));
            }
        }
        match cause {
            EndCause::Outside if step % 200 == 100 => {
                (0..UPSTREAMS).for_each(|index| self.end(now, index));
            }
            EndCause::Request if step >= 100 => self.run_fatal(now),
            _ => {}
        }
    }

    fn answer(&mut self, now: MonotonicTime, step: u64, index: usize) {
        let upstream = &mut self.upstreams[index];
        let done = upstream.running.extract_if(.., |(_, until)| *until <= step);
        for (target, _) in done.collect::<Vec<_>>() {
            if self.remembers {
                upstream.answered.record(now, &parts(&target));
            }
            self.register.record_answer(now, RequestFingerprint::of(&parts(&target)));
        }
    }

    fn arrive(&mut self, now: MonotonicTime, step: u64, index: usize, target: String) {
        let is_popular = target == POPULAR;
        self.tally.popular += u64::from(is_popular);
        if self.is_held(now, &target) {
            self.tally.popular_held += u64::from(is_popular);
            self.tally.others_held += u64::from(!is_popular);
            return;
        }
        self.upstreams[index].running.push((target, step + RUN_STEPS));
    }

    /// Sends the fatal request to an upstream that is up, if any.
    fn run_fatal(&mut self, now: MonotonicTime) {
        let there: Vec<_> =
            (0..UPSTREAMS).filter(|index| self.upstreams[*index].away == 0).collect();
        if there.is_empty() || self.is_held(now, FATAL) {
            return;
        }
        let index = there[self.rng.random_range(0..there.len())];
        self.tally.fatal_runs += 1;
        self.upstreams[index].running.push((FATAL.to_owned(), u64::MAX));
        self.end(now, index);
    }

    fn end(&mut self, now: MonotonicTime, index: usize) {
        let upstream = &mut self.upstreams[index];
        upstream.away = AWAY_STEPS;
        let mut suspects = Vec::new();
        for (target, _) in std::mem::take(&mut upstream.running) {
            if !upstream.answered.contains(now, &parts(&target)) {
                suspects.push(RequestFingerprint::of(&parts(&target)));
            }
        }
        self.crashes += 1;
        let report = CrashReport { crash: CrashId(self.crashes), age: Duration::ZERO, suspects };
        self.register.merge(now, QuarantineUpdate { crashes: vec![report], ..Default::default() });
    }

    fn is_held(&self, now: MonotonicTime, target: &str) -> bool {
        let verdict = self.register.verdict(now, RequestFingerprint::of(&parts(target)));
        verdict != QuarantineVerdict::Free
    }
}

/// Runs a minute of the load.
fn run_load(cause: EndCause, remembers: bool) -> Tally {
    let mut load = Load::new(remembers);
    for step in 0..1_200 {
        load.step(step, cause);
    }
    load.tally
}

#[rstest]
#[case(EndCause::Outside)]
#[case(EndCause::Request)]
fn no_caller_of_a_popular_read_is_turned_away(#[case] cause: EndCause) {
    let tally = run_load(cause, true);

    assert!(tally.popular > 1_000, "{tally:?}");
    assert_eq!((tally.popular_held, tally.others_held), (0, 0), "{tally:?}");
}

#[test]
fn what_ends_its_upstreams_is_held_back_after_three() {
    assert_eq!(run_load(EndCause::Request, true).fatal_runs, 3);
}

/// The threshold of three crashes alone quarantines the popular read as soon as three upstreams crash together.
#[test]
fn without_what_was_answered_of_late_the_innocent_are_turned_away() {
    let tally = run_load(EndCause::Outside, false);

    assert!(tally.popular_held > tally.popular / 2, "{tally:?}");
}
