//! Leaving upstreams are tried only if no other upstream accepts a call, and only for a short time.

use std::time::Duration;

use coltsfootroute::{
    id::{Incarnation, NodeId},
    name::{DomainName, RegionName},
    routing::{RouteResult, RoutingSettings, UpstreamInfo, UpstreamPool},
    time::MonotonicTime,
};
use rand::SeedableRng;
use rand_pcg::Pcg64;

use super::scenarios::node;

fn info(number: u16, leaving: bool) -> UpstreamInfo {
    UpstreamInfo {
        node: node(number),
        incarnation: Incarnation(1_000),
        domain: DomainName::new("dar-a"),
        region: RegionName::new("dar"),
        slots: 4,
        connections: 8,
        leaving,
        suspect: false,
    }
}

/// Creates a pool of upstreams, given by number and by whether they are leaving from `now` on.
fn pool(now: MonotonicTime, leaving: &[(u16, bool)]) -> UpstreamPool {
    let mut pool = UpstreamPool::new(
        DomainName::new("dar-a"),
        RegionName::new("dar"),
        RoutingSettings::default(),
    );
    pool.update(now, leaving.iter().map(|(number, leaving)| info(*number, *leaving)));
    pool
}

const START: MonotonicTime = MonotonicTime::ZERO;

#[test]
fn a_leaving_upstream_is_never_an_ordinary_choice() {
    let mut pool = pool(START, &[(1, true)]);

    assert_eq!(pool.choose(START, &mut Pcg64::seed_from_u64(7), &[]), None);
    assert_eq!(pool.choose_departing(START, &[]), Some(node(1)));
}

#[test]
fn an_upstream_that_has_refused_as_leaving_is_not_tried_again() {
    let mut pool = pool(START, &[(1, true)]);

    pool.started(START, node(1));
    pool.finished(START, node(1), Duration::from_millis(1), RouteResult::Leaving);

    assert_eq!(pool.choose_departing(START, &[]), None);
}

#[test]
fn an_upstream_that_has_been_leaving_for_long_is_not_tried() {
    let mut pool = pool(START, &[(1, true)]);
    let later = START + Duration::from_secs(5);

    // A repeated report of the leave does not restart the time.
    pool.update(later, [info(1, true)]);

    assert_eq!(pool.choose_departing(later, &[]), None);
}

#[test]
fn the_leaving_upstream_with_the_fewest_calls_is_chosen_and_none_that_was_tried() {
    let mut pool = pool(START, &[(1, true), (2, true), (3, false)]);
    pool.started(START, node(1));

    let none: &[NodeId] = &[];
    assert_eq!(pool.choose_departing(START, none), Some(node(2)));
    assert_eq!(pool.choose_departing(START, &[node(2)]), Some(node(1)));
    assert_eq!(pool.choose_departing(START, &[node(1), node(2)]), None);
}
