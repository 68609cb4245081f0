//! Grants the credit of the teams that this node owns.

use std::{cell::RefCell, collections::VecDeque, rc::Rc};

use coltsfootroute::{
    id::NodeId,
    membership::{MemberRecord, MemberState},
    name::{ServiceName, TeamName},
    quota::{CreditGrant, CreditLedger, CreditRequest, SETTLING_TIME, first_owner},
    time::MonotonicTime,
};
use indexmap::IndexMap;

use crate::dispatch::context::NodeContext;

/// Alive members of a service, sorted.
type PresentNodes = Vec<NodeId>;

/// A node's request for credit of a team.
#[derive(Clone, Copy, Debug)]
pub struct CreditDemand {
    /// Number of requests to admit.
    pub wanted: u32,
    /// Number of requests admitted without credit since the last reply to the requester.
    pub used: u32,
}

/// Grants the credit of the teams that this node owns, and knows which nodes own the credit of other teams.
pub struct CreditOwner {
    context: Rc<NodeContext>,
    ledger: RefCell<CreditLedger>,
    /// Alive members of each watched service.
    present: RefCell<IndexMap<ServiceName, PresentNodes>>,
    /// Recent member lists that included this node, each with the time until which it was valid; oldest first.
    past: RefCell<VecDeque<(MonotonicTime, PresentNodes)>>,
    started: MonotonicTime,
}

impl CreditOwner {
    /// Creates a credit owner for a node that has just started.
    pub fn new(context: Rc<NodeContext>) -> Self {
        let started = context.now();
        let ledger = CreditLedger::new().with_usage(context.scheduling.team_shares);
        Self {
            context,
            ledger: RefCell::new(ledger),
            present: RefCell::default(),
            past: RefCell::default(),
            started,
        }
    }

    /// Updates the members of a watched service, or of this node's own service.
    pub fn note_members(&self, service: &ServiceName, members: &[MemberRecord]) {
        let present = members.iter().filter(|member| member.state == MemberState::Alive);
        let mut present: PresentNodes = present.map(|member| member.node).collect();
        present.sort_unstable();
        let own = self.context.identity.node;
        let is_own = present.contains(&own);
        let before = self.present.borrow_mut().insert(service.clone(), present.clone());
        let before = before.unwrap_or_default();
        if (is_own || before.contains(&own)) && before != present {
            self.past.borrow_mut().push_back((self.context.now(), before));
        }
    }

    /// Grants credit of `team`; returns `None` if this node does not own it or knows no rate limit of the team.
    pub fn grant(
        &self,
        requester: NodeId,
        team: &TeamName,
        demand: CreditDemand,
    ) -> Option<CreditGrant> {
        let config = self.context.config.load()?;
        let limit = config.teams().team(team)?.rate?;
        if !self.present.borrow().values().any(|nodes| self.is_first(team, nodes)) {
            return None;
        }
        let CreditDemand { wanted, used } = demand;
        let request = CreditRequest { requester, team, limit, wanted, used };
        let is_sole = self.is_sole(team);
        Some(self.ledger.borrow_mut().grant(self.context.now(), request, is_sole))
    }

    /// Returns the member of `service` that owns the credit of `team` according to this node's member list.
    pub fn owner_in(&self, service: &ServiceName, team: &TeamName) -> Option<NodeId> {
        first_owner(team, self.present.borrow().get(service)?.iter().copied())
    }

    /// Removes credit that no node requests any more.
    pub fn prune(&self) {
        self.ledger.borrow_mut().prune(self.context.now());
    }

    /// Whether no other node can have owned the credit of `team` within the last [`SETTLING_TIME`].
    fn is_sole(&self, team: &TeamName) -> bool {
        let now = self.context.now();
        let is_recent = |time: &MonotonicTime| now.since(*time) < SETTLING_TIME;
        let mut past = self.past.borrow_mut();
        while past.pop_front_if(|(until, _)| !is_recent(until)).is_some() {}
        !is_recent(&self.started) && past.iter().all(|(_, nodes)| self.is_first(team, nodes))
    }

    fn is_first(&self, team: &TeamName, nodes: &[NodeId]) -> bool {
        let own = self.context.identity.node;
        nodes.contains(&own) && first_owner(team, nodes.iter().copied()) == Some(own)
    }
}
