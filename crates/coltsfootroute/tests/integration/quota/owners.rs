//! Tests of the selection of the owner of a team's credit.

use std::net::{Ipv4Addr, SocketAddr};

use coltsfootroute::{id::NodeId, name::TeamName, quota::first_owner};

fn node(index: u8) -> NodeId {
    NodeId(SocketAddr::from((Ipv4Addr::new(10, 0, 0, index), 7620)))
}

fn owner(team: usize, nodes: &[NodeId]) -> NodeId {
    first_owner(&TeamName::new(&format!("team-{team}")), nodes.iter().copied()).expect("a node")
}

#[test]
fn the_owner_does_not_depend_on_the_order_of_members() {
    let nodes: Vec<_> = (0..25).map(node).collect();
    let reversed: Vec<_> = nodes.iter().rev().copied().collect();

    for team in 0..71 {
        assert_eq!(owner(team, &nodes), owner(team, &reversed));
    }
}

#[test]
fn a_node_that_leaves_moves_only_the_teams_that_it_owned() {
    let nodes: Vec<_> = (0..25).map(node).collect();
    let others = &nodes[1..];

    for team in 0..200 {
        let before = owner(team, &nodes);
        if before != nodes[0] {
            assert_eq!(owner(team, others), before);
        }
    }
}

#[test]
fn the_teams_are_spread_over_the_nodes() {
    let nodes: Vec<_> = (0..25).map(node).collect();

    let most =
        nodes.iter().map(|node| (0..500).filter(|team| owner(*team, &nodes) == *node).count());

    assert!(most.max() < Some(40), "twice the mean");
}
