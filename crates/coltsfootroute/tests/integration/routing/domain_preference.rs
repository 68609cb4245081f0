//! Pattern: upstreams of different speed, one in each failure domain.
//!
//! A call that leaves the domain uses bandwidth between domains; a call that stays on a slow upstream costs its caller
//! time. A call with time to spare stays. A call whose remaining time is enough for little more than one execution
//! goes to the faster upstream. Basis of the figures: upstreams of one service differ in speed by a factor of up to
//! 2.5, and one execution in a hundred takes about four times the mean.

use std::time::Duration;

use coltsfootroute::{
    id::{Incarnation, NodeId},
    name::{DomainName, RegionName},
    routing::{RouteResult, RoutingSettings, UpstreamInfo, UpstreamPool},
    time::MonotonicTime,
};
use rand::SeedableRng;
use rand_pcg::Pcg64;

const CALLS: u32 = 400;

struct DomainFixture {
    pool: UpstreamPool,
    rng: Pcg64,
}

fn node(domain: u8) -> NodeId {
    NodeId(([10, domain, 0, 1], 7_000).into())
}

fn info(domain: u8) -> UpstreamInfo {
    UpstreamInfo {
        node: node(domain),
        incarnation: Incarnation(1),
        domain: DomainName::new(&format!("domain-{domain}")),
        region: RegionName::new("region"),
        slots: 100,
        connections: 800,
        leaving: false,
        suspect: false,
    }
}

/// Creates the pool of a caller in domain 0 that has measured the given latencies, in milliseconds, of the upstream in
/// its own domain and of the one in another domain.
fn fixture(own_ms: u64, other_ms: u64) -> DomainFixture {
    let settings = RoutingSettings::default().with_slow_start(Duration::ZERO);
    let own = DomainName::new("domain-0");
    let mut pool = UpstreamPool::new(own, RegionName::new("region"), settings);
    pool.update(MonotonicTime::ZERO, [info(0), info(1)]);
    for millis in 0..200 {
        let now = MonotonicTime::from_millis(millis);
        for (domain, latency) in [(0, own_ms), (1, other_ms)] {
            let latency = Duration::from_millis(latency);
            pool.started(now, node(domain));
            pool.finished(now, node(domain), latency, RouteResult::Succeeded);
        }
    }
    DomainFixture { pool, rng: Pcg64::seed_from_u64(1) }
}

/// Returns the share of calls with `time_left` that leave the domain, 0 to 1.
fn share_leaving(fixture: &mut DomainFixture, time_left: Duration) -> f64 {
    let now = MonotonicTime::from_millis(200);
    let mut left = 0;
    for _ in 0..CALLS {
        let chosen = fixture.pool.choose_admitted(now, &mut fixture.rng, &[], time_left, |_| 1.0);
        left += u32::from(chosen == Some(node(1)));
    }
    f64::from(left) / f64::from(CALLS)
}

#[test]
fn a_call_with_time_to_spare_stays_on_a_slower_upstream() {
    let mut fixture = fixture(80, 20);

    let leaving = share_leaving(&mut fixture, Duration::from_secs(5));

    assert_eq!(leaving, 0.0, "four times as slow, with time for sixty executions");
}

#[test]
fn a_call_short_of_time_goes_to_the_faster_upstream() {
    let mut fixture = fixture(80, 20);

    let leaving = share_leaving(&mut fixture, Duration::from_millis(300));

    assert_eq!(leaving, 1.0, "four times as slow, with time for fewer than four executions");
}

#[test]
fn upstreams_with_usual_differences_in_speed_keep_the_calls_of_their_domain() {
    let mut fixture = fixture(50, 20);

    let leaving = share_leaving(&mut fixture, Duration::from_millis(300));

    assert_eq!(leaving, 0.0);
}

#[test]
fn a_full_upstream_spills_over() {
    let mut fixture = fixture(20, 20);
    let now = MonotonicTime::from_millis(200);
    (0..100).for_each(|_| fixture.pool.started(now, node(0)));

    let leaving = share_leaving(&mut fixture, Duration::from_secs(5));

    assert_eq!(leaving, 1.0, "as many calls in flight as it has slots");
}

#[test]
fn a_call_that_may_reach_no_further_upstream_goes_to_one_that_it_has_reached() {
    let fixture = fixture(80, 20);
    let now = MonotonicTime::from_millis(200);

    let chosen = fixture.pool.choose_among(now, &[node(0)]);
    let none = fixture.pool.choose_among(now, &[]);

    assert_eq!((chosen, none), (Some(node(0)), None));
}
