//! State of what enters here.

use std::{cell::RefCell, rc::Rc, time::Duration};

use coltsfootroute::{
    admission::{ReachedServices, RootGate},
    deadline::{DeadlineCheck, ServiceTimes},
    name::{ServiceName, TeamName},
    retry::{AccountLedger, LedgerSettings, RetryPolicy},
};
use indexmap::IndexMap;
use tokio::sync::Notify;

use super::{member_counts::MemberCounts, service_pool::ServicePool, team_quota::TeamQuota};
use crate::dispatch::{
    context::NodeContext,
    guard::CallGuard,
    links::{CreditOwner, IntroductionStore, PeerLinks, QuarantineService},
};

/// Takes requests in and routes them to upstreams. The guard of the own upstream is one guard among others:
/// calls go to it as to other nodes, and come back as replies.
pub struct CallIngress {
    pub(super) context: Rc<NodeContext>,
    pub(super) links: Rc<PeerLinks>,
    pub(super) guard: Rc<CallGuard>,
    pub(super) introductions: IntroductionStore,
    /// Requests that end their upstreams.
    pub(super) quarantine: Rc<QuarantineService>,
    /// The credit of teams that this node owns.
    pub(super) owner: Rc<CreditOwner>,
    /// The credit of teams whose requests enter here.
    pub(super) quotas: RefCell<IndexMap<TeamName, Rc<TeamQuota>>>,
    /// Upstreams of the watched services.
    pub(in crate::dispatch) pools: RefCell<IndexMap<ServiceName, ServicePool>>,
    /// Members of the own service and of the watched ones.
    pub(in crate::dispatch) member_counts: RefCell<IndexMap<ServiceName, MemberCounts>>,
    /// Woken whenever the members of some service changed.
    pub(super) members_changed: Notify,
    /// Retry accounts of the client requests that entered here.
    pub(super) accounts: RefCell<AccountLedger>,
    pub(super) policy: RetryPolicy,
    /// Levels of the services, and what is refused by them where requests enter.
    pub(super) root: RefCell<RootGate>,
    /// Services that operations have reached, where the configuration does not declare it.
    pub(super) reached: RefCell<ReachedServices>,
    /// How long calls have taken of late.
    pub(super) times: RefCell<ServiceTimes>,
    pub(super) deadlines: DeadlineCheck,
}

impl CallIngress {
    /// An ingress that watches no service yet.
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
            reached: RefCell::default(),
            times: RefCell::new(ServiceTimes::default()),
            deadlines: DeadlineCheck::new(Duration::ZERO),
        }
    }
}
