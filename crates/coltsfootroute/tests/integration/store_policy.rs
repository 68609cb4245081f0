//! Circuit breaker, rate budget and retry in front of the table service.

use std::time::Duration;

use coltsfootroute::{
    table::{
        BreakerSettings, BreakerState, CircuitBreaker, RateBudget, RateShare, RowCondition, RowKey,
        RowWrite, StoreBackoff, StoreHealth, StoreUse, TableReply, TableRequest,
    },
    time::MonotonicTime,
};
use rand::SeedableRng;
use rand_pcg::Pcg64;
use rstest::rstest;

const PROBE_TIMEOUT: Duration = Duration::from_secs(2);

fn at(millis: u64) -> MonotonicTime {
    MonotonicTime::from_millis(millis)
}

fn rng() -> Pcg64 {
    Pcg64::seed_from_u64(7)
}

fn read() -> TableRequest {
    TableRequest::Read(RowKey::new("a"))
}

fn write() -> TableRequest {
    let key = RowKey::new("a");
    TableRequest::Transact(vec![RowWrite { key, condition: RowCondition::Any, value: None }])
}

fn breaker() -> CircuitBreaker {
    CircuitBreaker::new(BreakerSettings {
        failures_to_open: 2,
        initial_open: Duration::from_millis(100),
        max_open: Duration::from_millis(200),
        probe_timeout: PROBE_TIMEOUT,
    })
}

fn open_breaker(rng: &mut Pcg64) -> CircuitBreaker {
    let mut breaker = breaker();
    breaker.record(at(0), StoreHealth::Failing, rng);
    breaker.record(at(0), StoreHealth::Failing, rng);
    breaker
}

#[test]
fn breaker_opens_only_after_failures_in_a_row() {
    let mut breaker = breaker();

    breaker.record(at(0), StoreHealth::Failing, &mut rng());
    breaker.record(at(0), StoreHealth::Answering, &mut rng());
    breaker.record(at(0), StoreHealth::Failing, &mut rng());

    assert_eq!(breaker.state(), BreakerState::Closed(1));
    assert!(breaker.admit(at(0)));
}

#[test]
fn open_breaker_admits_one_probe() {
    let mut breaker = open_breaker(&mut rng());

    assert!(!breaker.admit(at(1)));
    assert!(breaker.admit(at(100)));
    assert!(!breaker.admit(at(101)));

    breaker.record(at(102), StoreHealth::Answering, &mut rng());
    assert!(breaker.admit(at(102)));
    assert_eq!(breaker.state(), BreakerState::Closed(0));
}

#[test]
fn failed_probes_lengthen_the_open_time_up_to_its_maximum() {
    let mut rng = rng();
    let mut breaker = open_breaker(&mut rng);

    for round in 1..6 {
        let now = at(round * 1_000);
        assert!(breaker.admit(now));
        breaker.record(now, StoreHealth::Failing, &mut rng);
        let BreakerState::Open(until) = breaker.state() else { panic!("{:?}", breaker.state()) };
        assert!(until >= now + Duration::from_millis(100), "at least half of the maximum");
        assert!(until <= now + Duration::from_millis(200));
    }
}

#[test]
fn lost_probe_times_out_and_allows_the_next() {
    let mut breaker = open_breaker(&mut rng());
    assert!(breaker.admit(at(100)));

    assert!(!breaker.admit(at(2_099)));
    assert!(breaker.admit(at(100) + PROBE_TIMEOUT));
}

#[test]
fn budget_of_all_nodes_together_keeps_the_rates() {
    let share = RateShare { nodes: 12, ..RateShare::default() };
    let mut budget = RateBudget::new(&share);
    let mut count = |request: &TableRequest| {
        (0..10_000)
            .filter(|millis| {
                budget.acquire(at(*millis), request, StoreUse::Claim, Duration::ZERO).is_some()
            })
            .count() as f64
    };

    let (writes, reads) = (count(&write()), count(&read()));

    // Ten seconds at the rate plus one burst.
    assert!(writes * 12.0 <= share.writes_per_s * (10.0 + share.burst_s) + 12.0, "{writes}");
    assert!(writes * 12.0 >= share.writes_per_s * 9.0, "{writes}");
    assert!(reads * 12.0 <= share.reads_per_s * (10.0 + share.burst_s) + 12.0, "{reads}");
}

#[test]
fn budget_keeps_a_reserve_for_claims() {
    let share = RateShare { writes_per_s: 10.0, nodes: 1, burst_s: 1.0, ..RateShare::default() };
    let mut budget = RateBudget::new(&share);
    let mut drain = |store_use| {
        std::iter::from_fn(|| budget.acquire(at(0), &write(), store_use, Duration::ZERO)).count()
    };

    assert_eq!(drain(StoreUse::Config), 5);
    assert_eq!(drain(StoreUse::Claim), 5);
}

/// A submission needs three reads and a write; the next one may follow seconds later.
#[rstest]
#[case(2_000)]
#[case(18_000)]
fn each_of_many_nodes_has_enough_budget_for_a_change_of_configuration(#[case] nodes: u32) {
    let share = RateShare { nodes, ..RateShare::default() };
    let mut budget = RateBudget::new(&share);
    let mut take = |millis, request: &TableRequest, store_use| {
        budget.acquire(at(millis), request, store_use, Duration::ZERO).is_some()
    };

    for submission in 0..3 {
        let now = submission * 4_000;
        let reads = (0..3).filter(|_| take(now, &read(), StoreUse::Config)).count();
        assert_eq!((reads, take(now, &write(), StoreUse::Config)), (3, true));
    }

    assert!(take(0, &write(), StoreUse::Claim), "its share allows one claim");
    assert!(!take(2_000, &write(), StoreUse::Claim), "the next claim must wait for a long time");
    let extra = (0..20).filter(|_| take(9_000, &read(), StoreUse::Config)).count();
    assert!(extra <= 4, "{extra}");
}

#[test]
fn budget_says_how_long_to_wait() {
    let share = RateShare { writes_per_s: 10.0, nodes: 1, burst_s: 0.1, ..RateShare::default() };
    let mut budget = RateBudget::new(&share);
    let mut take = |wait: u64| {
        let longest = Duration::from_millis(wait);
        budget.acquire(at(0), &write(), StoreUse::Claim, longest)
    };

    assert_eq!(take(0), Some(Duration::ZERO));
    assert_eq!(take(99), None);
    assert_eq!(take(100), Some(Duration::from_millis(100)));
    assert_eq!(take(200), Some(Duration::from_millis(200)));
}

#[rstest]
#[case::refused_read(read(), TableReply::Unavailable, true)]
#[case::lost_read(read(), TableReply::Uncertain, true)]
#[case::refused_write(write(), TableReply::Unavailable, true)]
#[case::lost_write(write(), TableReply::Uncertain, false)]
#[case::conflict(write(), TableReply::Conflict(Vec::new()), false)]
fn only_safe_requests_are_retried(
    #[case] request: TableRequest,
    #[case] reply: TableReply,
    #[case] is_retried: bool,
) {
    let backoff = StoreBackoff::default();

    assert_eq!(backoff.pause(&request, &reply, 1, &mut rng()).is_some(), is_retried);
    assert_eq!(backoff.pause(&request, &reply, backoff.max_attempts, &mut rng()), None);
}
