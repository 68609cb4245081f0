//! Selection of the node that owns a team's credit.

use std::cmp::Reverse;

use twox_hash::XxHash3_64;

use crate::{
    id::NodeId,
    name::{ServiceName, TeamName},
};

/// Returns the one of `nodes` that owns the credit of `team`, by rendezvous hashing; `None` without nodes. Nodes that
/// know the same members agree, and a node that joins or leaves moves only the teams that it owns.
pub fn first_owner(team: &TeamName, nodes: impl IntoIterator<Item = NodeId>) -> Option<NodeId> {
    nodes.into_iter().max_by_key(|node| (weight(team, &node.to_string()), *node))
}

/// Returns the services in the order in which their members may own the credit of `team`.
pub fn ranked_services(
    team: &TeamName,
    services: impl IntoIterator<Item = ServiceName>,
) -> Vec<ServiceName> {
    let mut ranked: Vec<_> = services.into_iter().collect();
    ranked.sort_by_cached_key(|service| Reverse((weight(team, service.as_str()), service.clone())));
    ranked
}

fn weight(team: &TeamName, name: &str) -> u64 {
    XxHash3_64::oneshot_with_seed(XxHash3_64::oneshot(team.as_str().as_bytes()), name.as_bytes())
}
