//! Tests of the interval of reads of the newest revision: some node reads soon, but not every node does.

use std::time::Duration;

use coltsfootroute::freshness::draw_head_interval;
use rand::SeedableRng;
use rand_pcg::Pcg64;
use rstest::rstest;

/// Guards against an accepted revision that stays unknown for minutes, and against a rate of reads that grows with the
/// number of nodes.
#[rstest]
#[case::small(12)]
#[case::large(200)]
fn some_node_reads_every_two_seconds_regardless_of_their_number(#[case] nodes: u16) {
    let mut rng = Pcg64::seed_from_u64(3);

    let pauses = (0..1_000).map(|_| draw_head_interval(usize::from(nodes), &mut rng));

    let mean = pauses.sum::<Duration>() / 1_000 / u32::from(nodes);
    assert!((Duration::from_secs(1)..Duration::from_secs(2)).contains(&mean), "{mean:?}");
}

#[test]
fn reads_of_thousands_of_nodes_stay_far_below_the_store_rate() {
    let mut rng = Pcg64::seed_from_u64(3);

    let shortest = (0..1_000).map(|_| draw_head_interval(18_000, &mut rng)).min().expect("some");

    assert!(shortest >= Duration::from_secs(300), "{shortest:?}");
}
