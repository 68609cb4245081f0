//! Membership summary for operators.

use super::{GossipCounters, MemberState};
use crate::id::Incarnation;

/// Counts of the members that the node knows.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MembershipStatus {
    /// Whether another node has answered.
    pub joined: bool,
    /// Incarnation of this node.
    pub incarnation: Incarnation,
    /// Number of groups whose members are held: the own one and the watched ones.
    pub groups: usize,
    /// Alive members of these groups.
    pub alive: usize,
    /// Suspected members of these groups.
    pub suspect: usize,
    /// Dead members of these groups that are still remembered.
    pub dead: usize,
    /// Departed members of these groups that are still remembered.
    pub left: usize,
    /// Members of other services that are kept as entry points.
    pub seeds: usize,
    /// Counters of the messages sent.
    pub counters: GossipCounters,
}

impl MembershipStatus {
    pub(super) fn count(&mut self, state: MemberState) {
        let counter = match state {
            MemberState::Alive => &mut self.alive,
            MemberState::Suspect => &mut self.suspect,
            MemberState::Dead => &mut self.dead,
            MemberState::Left => &mut self.left,
        };
        *counter += 1;
    }
}
