//! The guards of a service, each of which bounds repeats by its own calls.

use std::time::Duration;

use indexmap::IndexMap;

use crate::{
    id::{Incarnation, NodeId},
    membership::MemberRecord,
    time::MonotonicTime,
};

/// All nodes of a deployment that starts find each other within this.
const STARTUP_TIME: Duration = Duration::from_secs(10);

/// The guards of a service: says when one has come, gone or begun anew, so that calls have moved from one to another.
#[derive(Clone, Debug)]
pub struct GuardTracker {
    known: IndexMap<NodeId, Incarnation>,
    /// Whether all nodes of the deployment start with this one: nobody has had calls before.
    is_deployment_start: bool,
}

impl GuardTracker {
    /// No guard is known.
    pub fn new(is_deployment_start: bool) -> Self {
        Self { known: IndexMap::new(), is_deployment_start }
    }

    /// Takes in the members of the service at `now`, counted from the start of the process; whether calls may have moved.
    pub fn update(&mut self, now: MonotonicTime, members: &[MemberRecord]) -> bool {
        let live = members.iter().filter(|member| member.state.is_live());
        let live: IndexMap<_, _> = live.map(|member| (member.node, member.incarnation)).collect();
        let is_start = self.is_deployment_start && now < MonotonicTime::ZERO + STARTUP_TIME;
        let has_changed = live != self.known;
        self.known = live;
        has_changed && !is_start
    }
}
