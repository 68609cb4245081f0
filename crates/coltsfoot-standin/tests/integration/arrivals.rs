//! Mean, distribution and autocorrelation of the arrivals.

use std::time::Duration;

use coltsfoot_standin::load::{
    ArrivalKind, ArrivalProcess, ArrivalSchedule, ArrivalWindow, OfferedOperation, SurgeWindow,
};
use rand::SeedableRng;
use rand_pcg::Pcg64;
use rstest::rstest;

use crate::util::schema;

const COUNT: usize = 400_000;
const CORRELATED: ArrivalKind = ArrivalKind::Correlated { burst_length: 100 };

fn intervals(kind: ArrivalKind) -> Vec<f64> {
    let mut rng = Pcg64::seed_from_u64(7);
    let mut process = ArrivalProcess::new(kind, &mut rng);
    (0..COUNT).map(|_| process.next_interval(&mut rng)).collect()
}

fn mean(values: &[f64]) -> f64 {
    values.iter().sum::<f64>() / values.len() as f64
}

fn autocorrelation(values: &[f64], lag: usize) -> f64 {
    let mean = mean(values);
    let variance: f64 = values.iter().map(|value| (value - mean).powi(2)).sum();
    let pairs = values.iter().zip(&values[lag..]);
    pairs.map(|(one, other)| (one - mean) * (other - mean)).sum::<f64>() / variance
}

/// Part of the intervals below `bound`.
fn share_below(values: &[f64], bound: f64) -> f64 {
    values.iter().filter(|value| **value < bound).count() as f64 / values.len() as f64
}

fn operations() -> Vec<OfferedOperation> {
    let lookup = OfferedOperation::from_schema(&schema(), "stock/lookup", 300.0);
    let reserve = OfferedOperation::from_schema(&schema(), "stock/reserve", 100.0);
    vec![lookup.expect("a client operation"), reserve.expect("a client operation")]
}

#[rstest]
#[case::poisson(ArrivalKind::Poisson, 0.01)]
#[case::mixed(ArrivalKind::Mixed, 0.01)]
#[case::correlated(CORRELATED, 0.03)]
fn mean_interval_is_one(#[case] kind: ArrivalKind, #[case] tolerance: f64) {
    let intervals = intervals(kind);

    assert!((mean(&intervals) - 1.0).abs() < tolerance, "{}", mean(&intervals));
}

#[test]
fn only_correlated_arrivals_are_autocorrelated() {
    let poisson = autocorrelation(&intervals(ArrivalKind::Poisson), 1);
    let mixed = autocorrelation(&intervals(ArrivalKind::Mixed), 1);
    let correlated = intervals(CORRELATED);

    assert!(poisson.abs() < 0.01, "{poisson}");
    assert!(mixed.abs() < 0.01, "{mixed}");
    // For this mixture 0.64 / 2.28, times the chance that the state has not changed.
    assert!((autocorrelation(&correlated, 1) - 0.275).abs() < 0.03);
    assert!(autocorrelation(&correlated, 20) > 0.15);
}

#[rstest]
#[case(0.1)]
#[case(0.5)]
#[case(2.0)]
fn correlated_arrivals_are_distributed_as_mixed_ones(#[case] bound: f64) {
    let mixed = share_below(&intervals(ArrivalKind::Mixed), bound);
    let correlated = share_below(&intervals(CORRELATED), bound);

    assert!((mixed - correlated).abs() < 0.01, "{mixed} {correlated}");
}

#[test]
fn schedule_keeps_the_rates_and_the_seed() {
    let end = Duration::from_secs(100);
    let schedule = || ArrivalSchedule::new(operations(), Vec::new(), ArrivalKind::Poisson, end, 3);
    let requests: Vec<_> = schedule().collect();
    let reserves = requests.iter().filter(|request| request.operation == 1).count();

    assert!(requests.len().abs_diff(40_000) < 800, "{}", requests.len());
    assert!(reserves.abs_diff(10_000) < 400, "{reserves}");
    assert!(requests.is_sorted_by_key(|request| request.due));
    assert!(schedule().eq(requests));
}

#[test]
fn surge_changes_one_operation_in_its_window_only() {
    let surge: SurgeWindow = "40000:60000:3:stock/reserve".parse().expect("a surge");
    let (begin, end) = (surge.begin, surge.end);
    let whole = Duration::from_secs(100);
    let schedule = ArrivalSchedule::new(operations(), vec![surge], ArrivalKind::Poisson, whole, 5);
    let requests: Vec<_> = schedule.collect();
    let count = |operation, inside| {
        let within = |due| begin <= due && due < end;
        let matching = requests.iter().filter(|request| request.operation == operation);
        matching.filter(|request| within(request.due) == inside).count()
    };

    assert!(count(1, true).abs_diff(6_000) < 300, "{}", count(1, true));
    assert!(count(1, false).abs_diff(8_000) < 300, "{}", count(1, false));
    assert!(count(0, true).abs_diff(6_000) < 300, "{}", count(0, true));
}

#[test]
fn window_limits_the_kind_of_arrivals() {
    let window: ArrivalWindow = "0:50000".parse().expect("a window");
    let end = Duration::from_secs(100);
    let kind = ArrivalKind::Correlated { burst_length: 100 };
    let schedule = ArrivalSchedule::new(operations(), Vec::new(), kind, end, 9);
    let requests: Vec<_> = schedule.with_window(Some(window)).map(|next| next.due).collect();
    let gaps = |inside: bool| -> Vec<f64> {
        let pairs = requests.windows(2).filter(|pair| (pair[1] < window.end) == inside);
        pairs.map(|pair| (pair[1] - pair[0]).as_secs_f64()).collect()
    };

    assert!(autocorrelation(&gaps(true), 1) > 0.2);
    assert!(autocorrelation(&gaps(false), 1).abs() < 0.05);
}

#[rstest]
#[case("1:2")]
#[case("a:2:3")]
#[case("1:2:-3")]
#[case("1:2:NaN")]
fn malformed_surges_are_rejected(#[case] text: &str) {
    assert!(text.parse::<SurgeWindow>().is_err());
}
