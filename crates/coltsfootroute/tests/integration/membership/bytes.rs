//! Control traffic per node, which depends on the services that a node watches and not on the number of nodes.

use std::time::Duration;

use rstest::rstest;

use super::network::{GossipNetwork, node_id};

const SERVICES: [&str; 6] = ["fees", "licences", "logbook", "medicals", "renewals", "weather"];
const WARM_UP: Duration = Duration::from_secs(60);
const MEASURED: Duration = Duration::from_secs(30);

/// Returns the mean bytes per second and node, headers included, in a network without changes: `members` nodes in each
/// of six services, each watching `watched` of the other services.
fn bytes_per_second(members: u8, watched: usize) -> u64 {
    let mut network = GossipNetwork::new(23);
    let count = members * SERVICES.len() as u8;
    for number in 0..count {
        let place = usize::from(number) % SERVICES.len();
        let callees: Vec<_> =
            (1..=watched).map(|step| SERVICES[(place + step) % SERVICES.len()]).collect();
        network.start(node_id(number), vec![node_id(0), node_id(1)]);
        network.watch(node_id(number), &callees);
        network.announce(node_id(number), SERVICES[place]);
    }
    network.run(WARM_UP);
    let before = total_bytes(&network);
    network.run(MEASURED);
    (total_bytes(&network) - before) / u64::from(count) / MEASURED.as_secs()
}

fn total_bytes(network: &GossipNetwork) -> u64 {
    network.up_nodes().map(|(_, state)| state.engine.status().counters.total_bytes()).sum()
}

#[rstest]
#[case::watches_nothing(0)]
#[case::watches_five(5)]
fn bytes_do_not_grow_with_the_number_of_nodes(#[case] watched: usize) {
    let few = bytes_per_second(5, watched);
    let many = bytes_per_second(40, watched);

    assert!(many < few + few / 5, "{few} B/s per node with 30 nodes, {many} B/s with 240");
    assert!(many < 1_500, "{many} B/s; the limit of the settings is 2,000");
}
