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
const DOWN_STEPS: u64 = 60;
/// Other calls that arrive in each step at each upstream; each is a request that no other caller sends.
const OTHER_CALLS: u64 = 5;

/// Cause of the crashes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CrashCause {
    /// An external cause that affects all upstreams at the same time.
    External,
    /// A fatal request that is sent again as soon as upstreams are back.
    FatalRequest,
}

struct Upstream {
    /// Steps until the upstream is back.
    down_steps: u64,
    /// Requests in flight, with the step in which they are answered.
    running: Vec<(String, u64)>,
    answered: AnsweredRequests,
}

#[derive(Debug, Default)]
struct CallCounts {
    /// Number of calls of the popular read.
    popular: u64,
    /// Calls of the popular read that were refused.
    popular_refused: u64,
    /// Other calls that were refused.
    others_refused: u64,
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
    uses_answered: bool,
    crashes: u64,
    serial: u64,
    counts: CallCounts,
}

impl Load {
    fn new(uses_answered: bool) -> Self {
        let upstream = |index| Upstream {
            down_steps: 0,
            running: Vec::new(),
            answered: AnsweredRequests::new(index, START),
        };
        Self {
            register: QuarantineRegister::default(),
            upstreams: (0..UPSTREAMS as u64).map(upstream).collect(),
            rng: Pcg64::seed_from_u64(11),
            uses_answered,
            crashes: 0,
            serial: 0,
            counts: CallCounts::default(),
        }
    }

    /// Runs one step: answers, arrivals and crashes.
    fn step(&mut self, step: u64, cause: CrashCause) {
        let now = START + STEP * u32::try_from(step).expect("a short run");
        for index in 0..UPSTREAMS {
            if self.upstreams[index].down_steps > 0 {
                self.upstreams[index].down_steps -= 1;
                continue;
            }
            self.answer(now, step, index);
            self.arrive(now, step, index, POPULAR.to_owned());
            for _ in 0..OTHER_CALLS {
                self.serial += 1;
                self.arrive(now, step, index, format!("/one/{}", self.serial));
            }
        }
        match cause {
            CrashCause::External if step % 200 == 100 => {
                (0..UPSTREAMS).for_each(|index| self.crash(now, index));
            }
            CrashCause::FatalRequest if step >= 100 => self.run_fatal(now),
            _ => {}
        }
    }

    fn answer(&mut self, now: MonotonicTime, step: u64, index: usize) {
        let upstream = &mut self.upstreams[index];
        let done = upstream.running.extract_if(.., |(_, until)| *until <= step);
        for (target, _) in done.collect::<Vec<_>>() {
            if self.uses_answered {
                upstream.answered.record(now, &parts(&target));
            }
            self.register.record_answer(now, RequestFingerprint::of(&parts(&target)));
        }
    }

    fn arrive(&mut self, now: MonotonicTime, step: u64, index: usize, target: String) {
        let is_popular = target == POPULAR;
        self.counts.popular += u64::from(is_popular);
        if self.is_quarantined(now, &target) {
            self.counts.popular_refused += u64::from(is_popular);
            self.counts.others_refused += u64::from(!is_popular);
            return;
        }
        self.upstreams[index].running.push((target, step + RUN_STEPS));
    }

    /// Sends the fatal request to an upstream that is up, if any.
    fn run_fatal(&mut self, now: MonotonicTime) {
        let there: Vec<_> =
            (0..UPSTREAMS).filter(|index| self.upstreams[*index].down_steps == 0).collect();
        if there.is_empty() || self.is_quarantined(now, FATAL) {
            return;
        }
        let index = there[self.rng.random_range(0..there.len())];
        self.counts.fatal_runs += 1;
        self.upstreams[index].running.push((FATAL.to_owned(), u64::MAX));
        self.crash(now, index);
    }

    fn crash(&mut self, now: MonotonicTime, index: usize) {
        let upstream = &mut self.upstreams[index];
        upstream.down_steps = DOWN_STEPS;
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

    fn is_quarantined(&self, now: MonotonicTime, target: &str) -> bool {
        let verdict = self.register.verdict(now, RequestFingerprint::of(&parts(target)));
        verdict != QuarantineVerdict::Free
    }
}

/// Runs a minute of the load.
fn run_load(cause: CrashCause, uses_answered: bool) -> CallCounts {
    let mut load = Load::new(uses_answered);
    for step in 0..1_200 {
        load.step(step, cause);
    }
    load.counts
}

#[rstest]
#[case(CrashCause::External)]
#[case(CrashCause::FatalRequest)]
fn no_call_of_a_popular_read_is_refused(#[case] cause: CrashCause) {
    let counts = run_load(cause, true);

    assert!(counts.popular > 1_000, "{counts:?}");
    assert_eq!((counts.popular_refused, counts.others_refused), (0, 0), "{counts:?}");
}

#[test]
fn a_fatal_request_is_quarantined_after_three_crashes() {
    assert_eq!(run_load(CrashCause::FatalRequest, true).fatal_runs, 3);
}

/// The threshold of three crashes alone quarantines the popular read as soon as three upstreams crash together.
#[test]
fn without_answered_requests_a_popular_read_is_quarantined() {
    let counts = run_load(CrashCause::External, false);

    assert!(counts.popular_refused > counts.popular / 2, "{counts:?}");
}
