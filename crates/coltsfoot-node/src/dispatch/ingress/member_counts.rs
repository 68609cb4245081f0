//! Counts of a service's members by state.

use coltsfootroute::membership::{MemberRecord, MemberState};

/// Counts of a service's members by state, under the names that the metrics use.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize)]
pub struct MemberCounts {
    up: usize,
    suspect: usize,
    down: usize,
    left: usize,
}

impl MemberCounts {
    /// Counts `members`.
    pub fn of(members: &[MemberRecord]) -> Self {
        let mut counts = Self::default();
        for member in members {
            let count = match member.state {
                MemberState::Alive => &mut counts.up,
                MemberState::Suspect => &mut counts.suspect,
                MemberState::Dead => &mut counts.down,
                MemberState::Left => &mut counts.left,
            };
            *count += 1;
        }
        counts
    }
}
