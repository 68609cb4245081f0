//! Tests of shed levels at callers, retry delays and the counter of breaches.

use std::{net::SocketAddr, time::Duration};

use coltsfootroute::{
    admission::{BreachCounter, RetryAfter, RootGate, ServiceLevels, ShedLevel},
    id::NodeId,
    importance::Importance,
    name::ServiceName,
    time::MonotonicTime,
};
use rand::SeedableRng;
use rand_pcg::Pcg64;
use rstest::rstest;

fn guard(port: u16) -> NodeId {
    NodeId(SocketAddr::from(([127, 0, 0, 1], port)))
}

fn service() -> ServiceName {
    ServiceName::new("logbook")
}

fn at(millis: u64) -> MonotonicTime {
    MonotonicTime::from_millis(millis)
}

#[rstest]
#[case(0, Importance::Background, [1.0, 1.0, 1.0, 1.0, 1.0])]
#[case(1_250, Importance::Low, [0.0, 0.75, 1.0, 1.0, 1.0])]
#[case(3_000, Importance::High, [0.0, 0.0, 0.0, 1.0, 1.0])]
#[case(u16::MAX, Importance::Critical, [0.0, 0.0, 0.0, 0.0, 0.1])]
fn level_admits_from_the_border_up(
    #[case] severity: u16,
    #[case] border: Importance,
    #[case] fractions: [f64; Importance::COUNT],
) {
    let level = ShedLevel::from_severity(severity);

    assert_eq!(level.border(), border);
    for importance in Importance::ALL {
        let fraction = level.admitted_fraction(importance);
        assert!((fraction - fractions[importance.index()]).abs() < 1e-9, "{importance}");
    }
}

#[test]
fn level_decays_within_about_a_second_without_responses() {
    let mut levels = ServiceLevels::new();

    levels.observe(at(0), &service(), guard(1), ShedLevel::from_severity(2_000));

    assert_eq!(levels.level(at(50), &service()).severity(), 2_000);
    assert!(levels.level(at(1_100), &service()).severity() < 220);
}

#[test]
fn level_is_the_mean_weighted_by_responses() {
    let mut levels = ServiceLevels::new();

    for _ in 0..90 {
        levels.observe(at(0), &service(), guard(1), ShedLevel::OPEN);
    }
    for _ in 0..10 {
        levels.observe(at(0), &service(), guard(2), ShedLevel::from_severity(4_000));
    }

    let severity = levels.level(at(0), &service()).severity();
    assert!((390..=410).contains(&severity), "{severity}");
    assert_eq!(levels.guard_level(at(0), &service(), guard(2)).severity(), 4_000);
    assert_eq!(levels.guard_level(at(0), &service(), guard(3)), ShedLevel::OPEN);
}

#[test]
fn request_is_refused_for_the_service_that_sheds_most() {
    let mut rng = Pcg64::seed_from_u64(1);
    let mut levels = ServiceLevels::new();
    let services = [ServiceName::new("medicals"), service()];
    levels.observe(at(0), &services[0], guard(1), ShedLevel::from_severity(1_000));
    levels.observe(at(0), &services[1], guard(2), ShedLevel::from_severity(2_000));

    let low = levels.admit(at(0), &services, Importance::Low, &mut rng);
    let low_elsewhere = levels.admit(at(0), &services[..1], Importance::Low, &mut rng);
    let normal = levels.admit(at(0), &services, Importance::Normal, &mut rng);

    assert_eq!(low.expect_err("sheds").service, services[1]);
    assert!(low_elsewhere.is_ok());
    assert!(normal.is_ok());
}

#[test]
fn retry_hints_are_jittered_and_longer_for_the_less_important() {
    let mut rng = Pcg64::seed_from_u64(1);
    let level = ShedLevel::from_severity(3_500);
    let mut hints = |importance| -> Vec<u128> {
        let draws = 0..200;
        draws.map(|_| RetryAfter::draw(importance, level, 2.0, &mut rng).0.as_millis()).collect()
    };

    let background = hints(Importance::Background);
    let high = hints(Importance::High);

    let ends = |hints: &[u128]| (*hints.iter().min().unwrap(), *hints.iter().max().unwrap());
    // From 0.3 s, over a range of 0.7 s times the load ratio of 2, times 1 plus the distance: 4.5 and 1.5.
    let (least, greatest) = ends(&background);
    assert!((300..450).contains(&least) && (6_450..=6_600).contains(&greatest));
    let (least, greatest) = ends(&high);
    assert!((300..350).contains(&least) && (2_350..=2_400).contains(&greatest));
}

#[test]
fn breach_is_a_refusal_soon_after_less_important_work_was_admitted() {
    let mut counter = BreachCounter::new().with_window(Duration::from_millis(50));

    counter.on_admission(at(0), &service(), Importance::Low);
    let same_importance = counter.on_refusal(at(10), &service(), Importance::Low);
    let other_service = counter.on_refusal(at(10), &ServiceName::new("x"), Importance::High);
    let in_window = counter.on_refusal(at(50), &service(), Importance::High);
    let after_window = counter.on_refusal(at(51), &service(), Importance::High);

    assert_eq!(
        [same_importance, other_service, in_window, after_window],
        [false, false, true, false]
    );
    assert_eq!(counter.breaches(), 1);
}

#[test]
fn root_refuses_nothing_soon_after_it_admitted_less_important_work() {
    let mut gate = RootGate::new();
    let mut rng = Pcg64::seed_from_u64(1);
    let services = [service()];
    let mut admit = |gate: &mut RootGate, millis, importance| {
        gate.admit(at(millis), &services, importance, &mut rng).is_ok()
    };

    let low = admit(&mut gate, 0, Importance::Low);
    // The service now sheds all work below `critical`.
    for millis in 1..50 {
        gate.levels_mut().observe(
            at(millis),
            &service(),
            guard(1),
            ShedLevel::from_severity(4_000),
        );
    }
    let high_in_window = admit(&mut gate, 50, Importance::High);
    let high_after_window = admit(&mut gate, 51, Importance::High);
    let critical = admit(&mut gate, 51, Importance::Critical);

    assert_eq!([low, high_in_window, high_after_window, critical], [true, true, false, true]);
}
