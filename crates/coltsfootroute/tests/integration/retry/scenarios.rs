//! Scripted scenarios: `tests/scenarios/retry-*.txt`.

use std::{path::PathBuf, time::Duration};

use coltsfootroute::{
    id::RequestId,
    importance::Importance,
    outcome::RefusalReason,
    retry::{
        AccountLedger, AcquireResult, FailedAttempt, LedgerSettings, OpenResult, RetryDecision,
        RetryPolicy, ServiceThrottle, ThrottleSettings,
    },
    time::MonotonicTime,
};
use datadriven::TestCase;
use rand::SeedableRng;
use rand_pcg::Pcg64;
use rstest::rstest;

struct RetryFixture {
    now: MonotonicTime,
    ledger: AccountLedger,
    throttle: ServiceThrottle,
    rng: Pcg64,
}

fn fixture() -> RetryFixture {
    let now = MonotonicTime::ZERO;
    let settings = LedgerSettings::default().with_max_accounts(3);
    RetryFixture {
        now,
        ledger: AccountLedger::new(settings),
        throttle: ServiceThrottle::new(now, ThrottleSettings::default()),
        rng: Pcg64::seed_from_u64(1),
    }
}

impl RetryFixture {
    fn run(&mut self, case: &mut TestCase) -> String {
        match case.directive.as_str() {
            "time" => self.now = MonotonicTime::from_millis(case.take_arg("ms").unwrap()),
            "open" => return self.open(case),
            "take" => return self.acquire(case),
            "close" => self.ledger.close(request(case)),
            "restart" => self.ledger = fixture().ledger,
            "granted" => return format!("{:?}\n", self.ledger.granted(request(case))),
            "decide" => return self.decide(case),
            "calls" => {
                let now = self.now;
                let count: u32 = case.take_arg("count").unwrap();
                (0..count).for_each(|_| self.throttle.record_call(now));
            }
            "retries" => return self.retries(case),
            other => panic!("unknown directive {other}"),
        }
        String::new()
    }

    fn open(&mut self, case: &mut TestCase) -> String {
        let deadline = MonotonicTime::from_millis(case.take_arg("deadline").unwrap());
        let budget = case.take_arg("budget").unwrap();
        let answer = self.ledger.open(self.now, request(case), budget, deadline);
        let text = match answer {
            OpenResult::Opened => "opened",
            OpenResult::AlreadyOpen => "already open",
            OpenResult::Full => "full",
        };
        format!("{text}\n")
    }

    fn acquire(&mut self, case: &mut TestCase) -> String {
        let token_id = case.take_arg("id").unwrap();
        match self.ledger.acquire(self.now, request(case), token_id) {
            AcquireResult::Granted => "granted\n".to_owned(),
            AcquireResult::Denied(denial) => format!("denied: {}\n", denial.as_str()),
        }
    }

    fn decide(&mut self, case: &mut TestCase) -> String {
        let reason: Option<String> = case.try_take_arg("reason").unwrap();
        let expected: Option<u64> = case.try_take_arg("expected").unwrap();
        let attempt = FailedAttempt {
            outcome: case.take_arg::<String>("outcome").unwrap().parse().unwrap(),
            reason: reason
                .map(|name| serde_json::from_value::<RefusalReason>(name.into()).unwrap()),
            repeatable: !case.take_flag("once").unwrap(),
            failed_below: case.take_flag("failed-below").unwrap(),
            deadline: MonotonicTime::from_millis(case.take_arg("deadline").unwrap()),
            attempts: case.try_take_arg("attempts").unwrap().unwrap_or(1),
            rejections: case.try_take_arg("rejections").unwrap().unwrap_or(0),
            max_attempts: case.try_take_arg("most-attempts").unwrap(),
            shedding: case.take_flag("shedding").unwrap(),
            expected: expected.map(Duration::from_millis),
        };
        match RetryPolicy::default().decide(self.now, &mut self.rng, &attempt) {
            RetryDecision::Retry { backoff } if backoff.is_zero() => "ask, at once\n".to_owned(),
            RetryDecision::Retry { .. } => "ask, after a backoff\n".to_owned(),
            RetryDecision::GiveUp(cause) => format!("give up: {}\n", cause.as_str()),
        }
    }

    fn retries(&mut self, case: &mut TestCase) -> String {
        let count: u32 = case.take_arg("count").unwrap();
        let allowed =
            (0..count).filter(|_| self.throttle.try_retry(self.now, Importance::Normal)).count();
        format!("{allowed} of {count}\n")
    }
}

fn request(case: &mut TestCase) -> RequestId {
    RequestId(case.take_arg("request").unwrap())
}

#[rstest]
fn scenario(#[files("tests/scenarios/retry-*.txt")] path: PathBuf) {
    datadriven::walk(path.to_str().unwrap(), |file| {
        let mut fixture = fixture();
        file.run(|case| fixture.run(case));
    });
}
