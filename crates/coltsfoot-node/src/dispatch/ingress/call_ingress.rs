//! State shared by the requests that enter at this node.

use std::{cell::RefCell, rc::Rc, time::Duration};

use coltsfootroute::{
    admission::{ReachedServices, RootGate, TeamShares},
    deadline::{DeadlineCheck, ServiceTimes},
    name::{ServiceName, TeamName},
    retry::{AccountLedger, LedgerSettings, RetryPolicy},
    upstream_limit::KnownNotices,
};
use indexmap::IndexMap;
use tokio::sync::Notify;

use super::{member_counts::MemberCounts, service_pool::ServicePool, team_quota::TeamQuota};
use crate::dispatch::{
    context::NodeContext,
    guard::CallGuard,
    links::{CreditOwner, IntroductionStore, PeerLinks, QuarantineService},
};

/// Accepts requests and routes them to upstreams. The guard of the local upstream is treated like the guards of
/// other nodes: it is sent calls and returns replies.
pub struct CallIngress {
    pub(super) context: Rc<NodeContext>,
    pub(super) links: Rc<PeerLinks>,
    pub(super) guard: Rc<CallGuard>,
    pub(super) introductions: IntroductionStore,
    /// Requests that end their upstreams.
    pub(super) quarantine: Rc<QuarantineService>,
    /// The credit of teams that this node owns.
    pub(super) owner: Rc<CreditOwner>,
    /// Credit of the teams whose requests enter here.
    pub(super) quotas: RefCell<IndexMap<TeamName, Rc<TeamQuota>>>,
    /// Upstreams of the watched services.
    pub(in crate::dispatch) pools: RefCell<IndexMap<ServiceName, ServicePool>>,
    /// Member counts of the local upstream's service and of the watched services.
    pub(in crate::dispatch) member_counts: RefCell<IndexMap<ServiceName, MemberCounts>>,
    /// Notified whenever the members of a service change.
    pub(super) members_changed: Notify,
    /// Retry accounts of the client requests that entered here.
    pub(super) accounts: RefCell<AccountLedger>,
    pub(super) policy: RetryPolicy,
    /// Shed levels of the services; refuses requests at entry by these levels.
    pub(super) root: RefCell<RootGate>,
    /// Division between teams of what a shed level admits; unused unless the deployment asks for it.
    pub(super) shares: RefCell<TeamShares>,
    /// Services observed to be reached by operations whose calls the configuration does not declare.
    pub(super) reached: RefCell<ReachedServices>,
    /// What the replies of guards told of their upstreams.
    pub(super) notices: RefCell<KnownNotices>,
    /// Recent durations of calls.
    pub(super) times: RefCell<ServiceTimes>,
    pub(super) deadlines: DeadlineCheck,
}

impl CallIngress {
    /// Creates an ingress that watches no service.
    pub fn new(
        context: Rc<NodeContext>,
        links: Rc<PeerLinks>,
        guard: Rc<CallGuard>,
        introductions: IntroductionStore,
        quarantine: Rc<QuarantineService>,
        owner: Rc<CreditOwner>,
    ) -> Self {
        Self {
            context,
            links,
            guard,
            introductions,
            quarantine,
            owner,
            quotas: RefCell::default(),
            pools: RefCell::default(),
            member_counts: RefCell::default(),
            members_changed: Notify::new(),
            accounts: RefCell::new(AccountLedger::new(LedgerSettings::default())),
            policy: RetryPolicy::default(),
            root: RefCell::new(RootGate::new()),
            shares: RefCell::default(),
            reached: RefCell::default(),
            notices: RefCell::default(),
            times: RefCell::new(ServiceTimes::default()),
            deadlines: DeadlineCheck::new(Duration::ZERO),
        }
    }
}
