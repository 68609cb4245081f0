//! Taking the credit for a request of a rate-limited team, here or from the node that owns it.

use std::{rc::Rc, time::Duration};

use coltsfoot_wire::peer::write_address;
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
        context::{CREDIT_BYTES, GRANT_BYTES},
        links::CreditDemand,
    },
    metrics::ControlKind,
};

/// Longest wait for an owner's answer: many times what hosts of one region need.
const ASK_TIMEOUT: Duration = Duration::from_millis(250);
/// Pause after a question that nobody has answered.
const ASK_PAUSE: Duration = Duration::from_millis(50);
/// Longest that a request waits for credit: time for one question to an owner and one to another.
const CREDIT_WAIT: Duration = Duration::from_millis(600);
/// Longest time until there is credit that is waited for, and not refused: a team that sends what it may is not refused for
/// requests that come close together.
const SHORT_WAIT: Duration = Duration::from_millis(200);
/// Services whose members may own a team's credit; more than one only where the first has none.
const OWNING_SERVICES: usize = 3;

/// Credit for one request, to be given back if it does not run.
pub(super) struct CreditTaken {
    quota: Rc<TeamQuota>,
}

/// A request got no credit.
pub(super) struct CreditDenied {
    /// Why.
    pub(super) reason: RefusalReason,
    /// When there is credit again, if that is known.
    pub(super) wait: Option<Duration>,
}

impl CallIngress {
    /// Takes the credit for one request of `team`; waits for an owner's answer where there is none here. `None` for a team
    /// without a limit.
    pub(super) async fn take_credit(
        self: &Rc<Self>,
        team: &TeamEntry,
    ) -> Result<Option<CreditTaken>, CreditDenied> {
        if team.rate.is_none() || !self.context.control.is_on() {
            return Ok(None);
        }
        let quota = self.quota_of(&team.name);
        quota.credit.borrow_mut().record_demand(self.context.now());
        if quota.credit.borrow_mut().acquire(self.context.now()) {
            self.ask_ahead(&team.name, &quota);
            return Ok(Some(CreditTaken { quota }));
        }
        self.await_credit(&team.name, quota).await.map(Some)
    }

    /// Gives credit back for a request that has not run.
    pub(super) fn give_back(&self, taken: &CreditTaken) {
        taken.quota.credit.borrow_mut().refund(self.context.now());
    }

    /// Forgets teams that send nothing any more.
    pub fn forget_quotas(&self) {
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
    ) -> Result<CreditTaken, CreditDenied> {
        let until = Instant::now() + CREDIT_WAIT;
        let _waiting = WaitingMark::begin(quota.clone());
        loop {
            let now = self.context.now();
            if quota.credit.borrow_mut().acquire(now) {
                return Ok(CreditTaken { quota });
            }
            // Who has just been told that there is none does not ask again before.
            let exhausted_for = quota.credit.borrow().exhausted_for(now);
            if let Some(wait) = exhausted_for {
                // As many wait as credit comes for.
                if wait * quota.waiting.get() > SHORT_WAIT || Instant::now() + wait >= until {
                    let reason = RefusalReason::RateLimited;
                    return Err(CreditDenied { reason, wait: exhausted_for });
                }
                sleep(wait).await;
                continue;
            }
            let answered = quota.answered.notified();
            self.ask_ahead(team, &quota);
            if timeout_at(until, answered).await.is_err() {
                return Err(CreditDenied { reason: RefusalReason::RateUnknown, wait: None });
            }
        }
    }

    /// Asks an owner for what is wanted, if anything is and none is being asked.
    fn ask_ahead(self: &Rc<Self>, team: &TeamName, quota: &Rc<TeamQuota>) {
        if quota.is_asking.get() {
            return;
        }
        let wanted = quota.credit.borrow_mut().wanted(self.context.now(), quota.waiting.get());
        if wanted == 0 {
            return;
        }
        let wish = CreditDemand { wanted, used: quota.credit.borrow().used() };
        quota.is_asking.set(true);
        let (ingress, team, quota) = (self.clone(), team.clone(), quota.clone());
        spawn_local(async move {
            let grant = ingress.ask_owners(&team, wish).await;
            let now = ingress.context.now();
            match grant {
                Some(grant) => quota.credit.borrow_mut().grant(now, grant),
                None => quota.credit.borrow_mut().grant_own_share(now),
            }
            quota.answered.notify_waiters();
            if grant.is_none() {
                // Where nothing listens the answer is there at once: asked again without a pause it would be asked for ever.
                sleep(ASK_PAUSE).await;
            }
            quota.is_asking.set(false);
            quota.answered.notify_waiters();
        });
    }

    /// Asks who owns the credit of `team`, as far as this node knows; `None` if nobody says so of itself.
    async fn ask_owners(&self, team: &TeamName, wish: CreditDemand) -> Option<CreditGrant> {
        for service in self.owning_services(team) {
            self.watch(&service).await;
            let Some(owner) = self.owner.owner_in(&service, team) else {
                if self.has_gone(&service) {
                    continue;
                }
                return None;
            };
            return self.ask_owner(owner, team, wish).await;
        }
        None
    }

    /// Services of which one member owns the credit of `team`: the first that has members.
    fn owning_services(&self, team: &TeamName) -> Vec<ServiceName> {
        let Some(config) = self.context.config.load() else { return Vec::new() };
        let mut ranked = ranked_services(team, config.services());
        ranked.truncate(OWNING_SERVICES);
        ranked
    }

    async fn ask_owner(
        &self,
        owner: NodeId,
        team: &TeamName,
        wish: CreditDemand,
    ) -> Option<CreditGrant> {
        if owner == self.context.identity.node {
            return self.owner.grant(owner, team, wish);
        }
        timeout(ASK_TIMEOUT, self.ask_remote_owner(owner, team, wish)).await.ok()?
    }

    async fn ask_remote_owner(
        &self,
        owner: NodeId,
        team: &TeamName,
        wish: CreditDemand,
    ) -> Option<CreditGrant> {
        let link = self.links.get(owner).await.ok()?;
        let mut take = link.client().take_credit_request();
        write_address(self.context.identity.node.0, take.get().init_asker());
        take.get().set_team(team.as_str());
        take.get().set_wanted(wish.wanted);
        take.get().set_used(wish.used);
        self.context.count_asked(ControlKind::Quota, CREDIT_BYTES, GRANT_BYTES);
        let Ok(response) = take.send().promise.await else {
            self.links.failed(owner, &link);
            return None;
        };
        let answer = response.get().ok()?;
        answer.get_is_owner().then(|| CreditGrant {
            granted: answer.get_granted(),
            wait: Duration::from_micros(answer.get_wait_micros().into()),
            share_milli: answer.get_share_milli(),
        })
    }
}

/// A request that waits for credit; counted until it is dropped.
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
