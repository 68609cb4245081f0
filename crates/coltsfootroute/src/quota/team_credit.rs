//! Credit of a team at a node that admits its requests.

use std::time::Duration;

use super::{CreditGrant, RateUsage, admitted_share::AdmittedShare};
use crate::time::MonotonicTime;

/// Time of demand for which credit is prefetched: a few times the latency of an answer, and short enough that the
/// unused credit of all nodes together stays small against a second's rate.
const PREFETCH_TIME: Duration = Duration::from_millis(300);
/// Time after which unused credit expires: it counts toward the rate at the time when it was granted.
const CREDIT_LIFETIME: Duration = Duration::from_millis(600);
/// Time constant over which the demand is averaged.
const DEMAND_WINDOW: Duration = Duration::from_secs(1);
/// Longest time for which a node uses its own share of the rate while no owner answers; by then another owner is known.
const MAX_OWN_SHARE_TIME: Duration = Duration::from_secs(3);
/// Time without requests after which the credit of a team is dropped: the averaged demand has decayed, and the node has
/// no share of the rate any more.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);
/// Largest number of doublings of the pause between two requests for credit.
const MAX_PAUSE_DOUBLINGS: u32 = 6;
/// Smallest share of the rate, in requests a second, from which the bound of that pause is computed.
const MIN_SHARE_PER_S: f64 = 0.1;
/// Age from which a reported usage counts as unknown: a few times the lifetime of credit, with which it is reported again.
const MAX_USAGE_AGE: Duration = Duration::from_secs(2);
const MILLIS_PER_UNIT: f64 = 1_000.0;

/// Credit of a team at a node that admits its requests.
#[derive(Clone, Debug)]
pub struct TeamCredit {
    available: u32,
    /// Time at which the available credit expires.
    expires_at: MonotonicTime,
    /// Averaged demand in requests a second, as of `demand_at`.
    demand: f64,
    demand_at: MonotonicTime,
    /// Credit that the node may grant itself while no owner answers, in requests a second.
    share: f64,
    /// Time of an owner's last answer; `None` before the first.
    last_grant_at: Option<MonotonicTime>,
    /// Time up to which the node has granted itself its share.
    own_until: MonotonicTime,
    /// Fraction of a credit left over from granting whole credits up to `own_until`.
    own_fraction: f64,
    /// Part of the available credit that the node has granted itself; used first.
    own_available: u32,
    /// Credit granted by the node itself and used since an owner last answered.
    own_used: u32,
    /// Time before which there is no credit, according to the owner.
    exhausted_until: MonotonicTime,
    /// Number of answers that denied credit less those that granted some; the exponent of the pause between requests.
    denials: u32,
    /// Usage of the rate that an owner reported last, with the time of its answer. Counts admitted requests only.
    reported_usage: Option<(RateUsage, MonotonicTime)>,
    /// Share of the team's requests that this node has recently admitted at entry.
    admitted: AdmittedShare,
}

impl TeamCredit {
    /// Creates a state without credit.
    pub fn new(now: MonotonicTime) -> Self {
        Self {
            available: 0,
            expires_at: now,
            demand: 0.0,
            demand_at: now,
            share: 0.0,
            last_grant_at: None,
            own_until: now,
            own_fraction: 0.0,
            own_available: 0,
            own_used: 0,
            exhausted_until: now,
            denials: 0,
            reported_usage: None,
            admitted: AdmittedShare::new(now),
        }
    }

    /// Adds a request of the team to the demand.
    pub fn record_demand(&mut self, now: MonotonicTime) {
        self.demand = self.current_demand(now) + 1.0 / DEMAND_WINDOW.as_secs_f64();
        self.demand_at = now;
    }

    /// Acquires the credit for one request. Returns whether there was any.
    pub fn acquire(&mut self, now: MonotonicTime) -> bool {
        self.drop_expired(now);
        let has_any = self.available > 0;
        self.available -= u32::from(has_any);
        let is_own = self.own_available > 0;
        self.own_available -= u32::from(is_own);
        self.own_used += u32::from(is_own);
        has_any
    }

    /// Refunds the credit of a request that has not run and won't. Credit that has expired in the meantime is lost.
    pub fn refund(&mut self, now: MonotonicTime) {
        if now < self.expires_at {
            self.available += 1;
        }
    }

    /// Returns the amount of credit to request now, for `waiting` requests without credit and the expected demand; 0 if
    /// there is enough.
    pub fn wanted(&mut self, now: MonotonicTime, waiting: u32) -> u32 {
        self.drop_expired(now);
        if self.exhausted_for(now).is_some() {
            return 0;
        }
        let ahead = self.current_demand(now) * PREFETCH_TIME.as_secs_f64();
        // Half of it lasts until the answer to the next request for credit arrives.
        let is_low = f64::from(self.available) < ahead / 2.0;
        if waiting == 0 && !is_low {
            return 0;
        }
        // A few hundred at most. Rounded down, so that a team with low demand requests credit for each request.
        (ahead as u32).saturating_sub(self.available) + waiting
    }

    /// Returns the credit that the node has granted itself and used since an owner last answered, to be reported with
    /// the next request for credit.
    pub fn used(&self) -> u32 {
        self.own_used
    }

    /// Adds the grant of an owner to which the credit [`used`](Self::used) was reported.
    pub fn grant(&mut self, now: MonotonicTime, grant: CreditGrant) {
        self.add(now, grant.granted);
        self.reported_usage = grant.usage.map(|usage| (usage, now)).or(self.reported_usage);
        self.own_used = 0;
        self.share = f64::from(grant.share_milli) / MILLIS_PER_UNIT;
        self.last_grant_at = Some(now);
        self.own_until = now;
        self.own_fraction = 0.0;
        self.exhausted_until = now + self.pause(grant);
    }

    /// Returns the pause before the next request to the owner: until there is credit, doubled with each denial, and at
    /// most the time in which the node's own share of the rate yields one credit, unless the owner states a longer one.
    fn pause(&mut self, grant: CreditGrant) -> Duration {
        if grant.granted > 0 {
            self.denials = self.denials.saturating_sub(1);
            return Duration::ZERO;
        }
        let doubled = grant.wait * (1 << self.denials);
        self.denials = MAX_PAUSE_DOUBLINGS.min(self.denials + 1);
        let share_pause = Duration::from_secs_f64(1.0 / self.share.max(MIN_SHARE_PER_S));
        doubled.min(share_pause.max(grant.wait))
    }

    /// Grants the node its own share of the rate while no owner answers, for at most `MAX_OWN_SHARE_TIME` after the
    /// last answer.
    pub fn grant_own_share(&mut self, now: MonotonicTime) {
        let Some(answered) = self.last_grant_at else { return };
        let until = now.min(answered + MAX_OWN_SHARE_TIME);
        let time = until.since(self.own_until).as_secs_f64();
        let part = self.own_fraction + self.share * time;
        // Far below `u32::MAX`: the share covers seconds at most.
        let whole = part as u32;
        self.own_fraction = part - f64::from(whole);
        self.own_until = self.own_until.max(until);
        self.add(now, whole);
        self.own_available += whole;
    }

    /// Returns the time until the owner has credit again; `None` unless it has reported that it has none.
    pub fn exhausted_for(&self, now: MonotonicTime) -> Option<Duration> {
        let wait = self.exhausted_until.since(now);
        (wait > Duration::ZERO).then_some(wait)
    }

    /// Records a request of the team that was admitted at entry with `probability`, before credit was acquired for it.
    pub fn record_admission(&mut self, now: MonotonicTime, probability: f64) {
        self.admitted.record(now, probability);
    }

    /// Returns how far the team would use its rate if none of its requests were refused at entry, judged by what this node
    /// refuses; `None` if no owner has reported the usage within `MAX_USAGE_AGE`.
    pub fn offered_usage(&self, now: MonotonicTime) -> Option<RateUsage> {
        let (usage, _) =
            self.reported_usage.filter(|(_, reported)| now.since(*reported) <= MAX_USAGE_AGE)?;
        Some(RateUsage::from_ratio(usage.ratio() / self.admitted.share()))
    }

    /// Returns the time since an owner reported the usage; `None` if none ever has.
    pub fn usage_age(&self, now: MonotonicTime) -> Option<Duration> {
        self.reported_usage.map(|(_, reported)| now.since(reported))
    }

    /// Returns whether the team has sent no request for `IDLE_TIMEOUT`.
    pub fn is_idle(&self, now: MonotonicTime) -> bool {
        now.since(self.demand_at) >= IDLE_TIMEOUT
    }

    fn add(&mut self, now: MonotonicTime, credit: u32) {
        self.drop_expired(now);
        if credit > 0 {
            self.available += credit;
            self.expires_at = now + CREDIT_LIFETIME;
        }
    }

    fn drop_expired(&mut self, now: MonotonicTime) {
        if now >= self.expires_at {
            self.available = 0;
            self.own_available = 0;
        }
    }

    fn current_demand(&self, now: MonotonicTime) -> f64 {
        let time = now.since(self.demand_at).as_secs_f64();
        self.demand * (-time / DEMAND_WINDOW.as_secs_f64()).exp()
    }
}
