//! Acquisition of credit for requests of rate-limited teams, locally or from the node that owns the credit.

use std::{rc::Rc, time::Duration};

use coltsfoot_wire::peer::{read_credit_grant, write_address};
use coltsfootroute::{
    id::NodeId,
    name::{ServiceName, TeamName},
    outcome::RefusalReason,
    quota::{CreditGrant, ranked_services},
    schema::TeamEntry,
};
use tokio::{
    task::spawn_local,
    time::{Instant, sleep, timeout, timeout_at},
};

use super::{call_ingress::CallIngress, team_quota::TeamQuota};
use crate::{
    dispatch::{
        context::{CREDIT_REQUEST_BYTES, CREDIT_RESPONSE_BYTES},
        links::CreditDemand,
    },
    metrics::ControlKind,
};

/// Longest wait for an owner's answer: many times what hosts within one region need.
const OWNER_TIMEOUT: Duration = Duration::from_millis(250);
/// Pause after a request for credit that no owner has answered.
const UNANSWERED_PAUSE: Duration = Duration::from_millis(50);
/// Longest time that a client request waits for credit: enough to query one owner and then another.
const MAX_CREDIT_WAIT: Duration = Duration::from_millis(600);
/// Longest time until new credit for which a request waits instead of being refused: a team within its rate is not
/// refused for requests that arrive close together.
const MAX_REFILL_WAIT: Duration = Duration::from_millis(200);
/// Maximum number of services whose members may own a team's credit; a further one is used only if those before it
/// have no members.
const MAX_OWNING_SERVICES: usize = 3;

/// Credit for one request, to be refunded if the request does not run.
pub(super) struct AcquiredCredit {
    quota: Rc<TeamQuota>,
}

/// Denial of credit for a request.
pub(super) struct CreditDenial {
    /// Reason of the denial.
    pub(super) reason: RefusalReason,
    /// Time until there is credit again, if known.
    pub(super) wait: Option<Duration>,
}

impl CallIngress {
    /// Acquires the credit for one request of `team`; waits for an owner's answer if there is no local credit. Returns
    /// `None` if the team has no limit or control is off.
    pub(super) async fn acquire_credit(
        self: &Rc<Self>,
        team: &TeamEntry,
    ) -> Result<Option<AcquiredCredit>, CreditDenial> {
        if team.rate.is_none() || !self.context.control.is_on() {
            return Ok(None);
        }
        let quota = self.quota_of(&team.name);
        quota.credit.borrow_mut().record_demand(self.context.now());
        if quota.credit.borrow_mut().acquire(self.context.now()) {
            self.request_ahead(&team.name, &quota);
            return Ok(Some(AcquiredCredit { quota }));
        }
        self.await_credit(&team.name, quota).await.map(Some)
    }

    /// Refunds the credit of a request that has not run.
    pub(super) fn refund_credit(&self, credit: &AcquiredCredit) {
        credit.quota.credit.borrow_mut().refund(self.context.now());
    }

    /// Evicts the quotas of teams that no longer send requests.
    pub fn evict_idle_quotas(&self) {
        let now = self.context.now();
        let mut quotas = self.quotas.borrow_mut();
        quotas
            .retain(|_, quota| Rc::strong_count(quota) > 1 || !quota.credit.borrow().is_idle(now));
    }

    fn quota_of(&self, team: &TeamName) -> Rc<TeamQuota> {
        let now = self.context.now();
        let mut quotas = self.quotas.borrow_mut();
        quotas.entry(team.clone()).or_insert_with(|| Rc::new(TeamQuota::new(now))).clone()
    }

    async fn await_credit(
        self: &Rc<Self>,
        team: &TeamName,
        quota: Rc<TeamQuota>,
    ) -> Result<AcquiredCredit, CreditDenial> {
        let until = Instant::now() + MAX_CREDIT_WAIT;
        let _waiting = WaitingMark::begin(quota.clone());
        loop {
            let now = self.context.now();
            if quota.credit.borrow_mut().acquire(now) {
                return Ok(AcquiredCredit { quota });
            }
            // While the owner's last answer says that there is no credit, it is not queried again.
            let exhausted_for = quota.credit.borrow().exhausted_for(now);
            if let Some(wait) = exhausted_for {
                // Only as many requests wait as the credit due within `MAX_REFILL_WAIT` can serve.
                if wait * quota.waiting.get() > MAX_REFILL_WAIT || Instant::now() + wait >= until {
                    let reason = RefusalReason::RateLimited;
                    return Err(CreditDenial { reason, wait: exhausted_for });
                }
                sleep(wait).await;
                continue;
            }
            let answered = quota.answered.notified();
            self.request_ahead(team, &quota);
            if timeout_at(until, answered).await.is_err() {
                return Err(CreditDenial { reason: RefusalReason::RateUnknown, wait: None });
            }
        }
    }

    /// Requests the wanted credit from an owner in the background, if any is wanted and no request is pending.
    fn request_ahead(self: &Rc<Self>, team: &TeamName, quota: &Rc<TeamQuota>) {
        if quota.is_requesting.get() {
            return;
        }
        let wanted = quota.credit.borrow_mut().wanted(self.context.now(), quota.waiting.get());
        if wanted == 0 {
            return;
        }
        let wish = CreditDemand { wanted, used: quota.credit.borrow().used() };
        quota.is_requesting.set(true);
        let (ingress, team, quota) = (self.clone(), team.clone(), quota.clone());
        spawn_local(async move {
            let grant = ingress.request_credit(&team, wish).await;
            let now = ingress.context.now();
            match grant {
                Some(grant) => quota.credit.borrow_mut().grant(now, grant),
                None => quota.credit.borrow_mut().grant_own_share(now),
            }
            quota.answered.notify_waiters();
            if grant.is_none() {
                // If nothing listens at the owner's address, the request fails immediately; without a pause it would be
                // repeated in a tight loop.
                sleep(UNANSWERED_PAUSE).await;
            }
            quota.is_requesting.set(false);
            quota.answered.notify_waiters();
        });
    }

    /// Asks who owns the credit of `team`, as far as this node knows; `None` if nobody says so of itself.
    async fn request_credit(&self, team: &TeamName, wish: CreditDemand) -> Option<CreditGrant> {
        for service in self.owning_services(team) {
            self.watch(&service).await;
            let Some(owner) = self.owner.owner_in(&service, team) else {
                if self.has_no_upstream(&service) {
                    continue;
                }
                return None;
            };
            return self.request_from_owner(owner, team, wish).await;
        }
        None
    }

    /// Returns the services of which a member may own the credit of `team`, in order; the owner is a member of the
    /// first that has members.
    fn owning_services(&self, team: &TeamName) -> Vec<ServiceName> {
        let Some(config) = self.context.config.load() else { return Vec::new() };
        let mut ranked = ranked_services(team, config.services());
        ranked.truncate(MAX_OWNING_SERVICES);
        ranked
    }

    async fn request_from_owner(
        &self,
        owner: NodeId,
        team: &TeamName,
        wish: CreditDemand,
    ) -> Option<CreditGrant> {
        if owner == self.context.identity.node {
            return self.owner.grant(owner, team, wish);
        }
        timeout(OWNER_TIMEOUT, self.request_from_remote_owner(owner, team, wish)).await.ok()?
    }

    async fn request_from_remote_owner(
        &self,
        owner: NodeId,
        team: &TeamName,
        wish: CreditDemand,
    ) -> Option<CreditGrant> {
        let link = self.links.get(owner).await.ok()?;
        let mut request = link.client().take_credit_request();
        write_address(self.context.identity.node.0, request.get().init_asker());
        request.get().set_team(team.as_str());
        request.get().set_wanted(wish.wanted);
        request.get().set_used(wish.used);
        self.context.count_sent_request(
            ControlKind::Quota,
            CREDIT_REQUEST_BYTES,
            CREDIT_RESPONSE_BYTES,
        );
        let Ok(response) = request.send().promise.await else {
            self.links.failed(owner, &link);
            return None;
        };
        read_credit_grant(response.get().ok()?)
    }
}

/// Counts a request as waiting for credit until it is dropped.
struct WaitingMark {
    quota: Rc<TeamQuota>,
}

impl WaitingMark {
    fn begin(quota: Rc<TeamQuota>) -> Self {
        quota.waiting.set(quota.waiting.get() + 1);
        Self { quota }
    }
}

impl Drop for WaitingMark {
    fn drop(&mut self) {
        self.quota.waiting.set(self.quota.waiting.get() - 1);
    }
}
