//! Summary for operators.

use super::{GossipCounters, MemberState};
use crate::id::Incarnation;

/// What the node knows of its groups, counted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MembershipStatus {
    /// Whether another node has answered, or there was none to ask.
    pub joined: bool,
    /// Own incarnation.
    pub incarnation: Incarnation,
    /// Groups held in detail: the own one and the watched ones.
    pub groups: usize,
    /// Members by state, over these groups.
    pub alive: usize,
    /// Suspected members.
    pub suspect: usize,
    /// Dead members still remembered.
    pub dead: usize,
    /// Departed members still remembered.
    pub left: usize,
    /// Members of other services kept as entry points.
    pub seeds: usize,
    /// What was sent.
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
