//! Which nodes may own a team's credit, in order.

use twox_hash::XxHash3_64;

use crate::{
    id::NodeId,
    name::{ServiceName, TeamName},
};

/// The nodes in the order in which they may own the credit of `team` (rendezvous hashing): nodes that know the same members
/// agree, and a node that comes or goes moves only the teams that it owns.
pub fn ranked_owners(team: &TeamName, nodes: impl IntoIterator<Item = NodeId>) -> Vec<NodeId> {
    let mut ranked: Vec<_> =
        nodes.into_iter().map(|node| (weight(team.as_str(), &node.to_string()), node)).collect();
    ranked.sort_unstable_by(|left, right| right.cmp(left));
    ranked.into_iter().map(|(_, node)| node).collect()
}

/// The services in the order in which their members may own the credit of `team`.
pub fn ranked_services(
    team: &TeamName,
    services: impl IntoIterator<Item = ServiceName>,
) -> Vec<ServiceName> {
    let mut ranked: Vec<_> = services
        .into_iter()
        .map(|service| (weight(team.as_str(), service.as_str()), service))
        .collect();
    ranked.sort_unstable_by(|left, right| right.cmp(left));
    ranked.into_iter().map(|(_, service)| service).collect()
}

fn weight(team: &str, node: &str) -> u64 {
    XxHash3_64::oneshot_with_seed(XxHash3_64::oneshot(team.as_bytes()), node.as_bytes())
}
