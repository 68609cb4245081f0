//! Detection of changes in the set of guards of a service.

use std::time::Duration;

use indexmap::IndexMap;

use crate::{
    id::{Incarnation, NodeId},
    membership::MemberRecord,
    time::MonotonicTime,
};

/// Time within which all nodes of a starting deployment discover each other.
const STARTUP_TIME: Duration = Duration::from_secs(10);

/// Tracks the guards of a service, each of which bounds repeats by its own calls. Reports when a guard has joined, left
/// or restarted, since calls then move from one guard to another.
#[derive(Clone, Debug)]
pub struct GuardTracker {
    known: IndexMap<NodeId, Incarnation>,
    /// Whether all nodes of the deployment start together with this one, so that no guard has received calls before.
    is_deployment_start: bool,
}

impl GuardTracker {
    /// Creates a tracker that knows no guard.
    pub fn new(is_deployment_start: bool) -> Self {
        Self { known: IndexMap::new(), is_deployment_start }
    }

    /// Updates the guards to the live members of the service and returns whether calls may have moved between guards.
    /// `now` is counted from the start of the process. Changes during the start of a deployment are not reported.
    pub fn update(&mut self, now: MonotonicTime, members: &[MemberRecord]) -> bool {
        let live = members.iter().filter(|member| member.state.is_live());
        let live: IndexMap<_, _> = live.map(|member| (member.node, member.incarnation)).collect();
        let is_start = self.is_deployment_start && now < MonotonicTime::ZERO + STARTUP_TIME;
        let has_changed = live != self.known;
        self.known = live;
        has_changed && !is_start
    }
}
