//! The credit of a team at a node that takes its requests in.

use std::time::Duration;

use super::CreditGrant;
use crate::time::MonotonicTime;

/// Credit is asked for so far ahead of the demand: a few times what an answer takes, and short enough that what is held
/// unused by all nodes together stays small against a second's rate.
const PREFETCH_TIME: Duration = Duration::from_millis(300);
/// Credit that was not used for so long expires_at: it counts for the time in which it was given.
const CREDIT_LIFETIME: Duration = Duration::from_millis(600);
/// The demand is averaged over so long.
const DEMAND_WINDOW: Duration = Duration::from_secs(1);
/// While no owner answers, a node goes on with its own part for so long: another owner is known by then.
const MAX_OWN_SHARE_TIME: Duration = Duration::from_secs(3);
/// A team that has sent nothing for so long is forgotten: its demand has faded, and no part of the rate is its own.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);
/// Keeps the pause between two requests within its bounds.
const MAX_PAUSE_DOUBLINGS: u32 = 6;
const MIN_SHARE_PER_S: f64 = 0.1;
/// Thousandths in one.
const MILLIS_PER_UNIT: f64 = 1_000.0;

/// The credit of a team at a node that takes its requests in.
#[derive(Clone, Debug)]
pub struct TeamCredit {
    available: u32,
    /// What is left lapses then.
    expires_at: MonotonicTime,
    /// Requests a second of late, as of `demand_at`.
    demand: f64,
    demand_at: MonotonicTime,
    /// Credit a second that the node may give itself while no owner answers.
    share: f64,
    /// When an owner last answered.
    last_grant_at: Option<MonotonicTime>,
    /// Up to when the node has given itself its part, and what of it is not a whole credit.
    own_until: MonotonicTime,
    own_fraction: f64,
    /// Part of what is left that the node has given itself; used first.
    own_available: u32,
    /// Credit of its own giving that it has used since an owner last answered.
    own_used: u32,
    /// The owner has said that there is no credit before.
    exhausted_until: MonotonicTime,
    /// Answers by which there was none, less those by which there was some.
    denials: u32,
}

impl TeamCredit {
    /// No credit yet.
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
        }
    }

    /// Counts a request of the team.
    pub fn record_demand(&mut self, now: MonotonicTime) {
        self.demand = self.current_demand(now) + 1.0 / DEMAND_WINDOW.as_secs_f64();
        self.demand_at = now;
    }

    /// Takes the credit for one request, if there is any.
    pub fn acquire(&mut self, now: MonotonicTime) -> bool {
        self.drop_expired(now);
        let has_any = self.available > 0;
        self.available -= u32::from(has_any);
        let is_own = self.own_available > 0;
        self.own_available -= u32::from(is_own);
        self.own_used += u32::from(is_own);
        has_any
    }

    /// The request for which credit was taken has not run, nor will it. What has lapsed meanwhile is lost.
    pub fn refund(&mut self, now: MonotonicTime) {
        if now < self.expires_at {
            self.available += 1;
        }
    }

    /// Credit to ask for now, with `waiting` requests at hand that have none; 0 if there is enough.
    pub fn wanted(&mut self, now: MonotonicTime, waiting: u32) -> u32 {
        self.drop_expired(now);
        if self.exhausted_for(now).is_some() {
            return 0;
        }
        let ahead = self.current_demand(now) * PREFETCH_TIME.as_secs_f64();
        // Half of it is enough to go on with while the next is asked for.
        let is_low = f64::from(self.available) < ahead / 2.0;
        if waiting == 0 && !is_low {
            return 0;
        }
        // Some hundred at most; whole numbers only, so that a team with few requests asks for each as it comes.
        (ahead as u32).saturating_sub(self.available) + waiting
    }

    /// Credit that the node has given itself and used since an owner last last_grant_at: the next one is to be told.
    pub fn used(&self) -> u32 {
        self.own_used
    }

    /// Takes in the answer of an owner that was told of what was [`used`](Self::used).
    pub fn grant(&mut self, now: MonotonicTime, grant: CreditGrant) {
        self.add(now, grant.granted);
        self.own_used = 0;
        self.share = f64::from(grant.share_milli) / MILLIS_PER_UNIT;
        self.last_grant_at = Some(now);
        self.own_until = now;
        self.own_fraction = 0.0;
        self.exhausted_until = now + self.pause(grant);
    }

    /// Time before the owner is asked again: until there is credit, longer with each answer by which others had taken it, and
    /// no longer than it takes for the node's own part of the rate.
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

    /// No owner answers: the node gives itself its part of the rate, for a while.
    pub fn grant_own_share(&mut self, now: MonotonicTime) {
        let Some(answered) = self.last_grant_at else { return };
        let until = now.min(answered + MAX_OWN_SHARE_TIME);
        let time = until.since(self.own_until).as_secs_f64();
        let part = self.own_fraction + self.share * time;
        // A part of a second's rate.
        let whole = part as u32;
        self.own_fraction = part - f64::from(whole);
        self.own_until = self.own_until.max(until);
        self.add(now, whole);
        self.own_available += whole;
    }

    /// Time until the owner has credit again, if it has said that it has none.
    pub fn exhausted_for(&self, now: MonotonicTime) -> Option<Duration> {
        let wait = self.exhausted_until.since(now);
        (wait > Duration::ZERO).then_some(wait)
    }

    /// Whether the team has sent nothing for long.
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
