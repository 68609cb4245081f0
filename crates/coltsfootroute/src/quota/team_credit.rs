//! The credit of a team at a node that takes its requests in.

use std::time::Duration;

use super::CreditGrant;
use crate::time::MonotonicTime;

/// Credit is asked for so far ahead of the demand: a few times what an answer takes, and short enough that what is held
/// unused by all nodes together stays small against a second's rate.
const AHEAD: Duration = Duration::from_millis(300);
/// Credit that was not used for so long lapses: it counts for the time in which it was given.
const LAPSE: Duration = Duration::from_millis(600);
/// The demand is averaged over so long.
const DEMAND_TIME: Duration = Duration::from_secs(1);
/// While no owner answers, a node goes on with its own part for so long: another owner is known by then.
const ALONE_TIME: Duration = Duration::from_secs(3);
/// A team that has sent nothing for so long is forgotten: its demand has faded, and no part of the rate is its own.
const FORGET_AFTER: Duration = Duration::from_secs(10);
/// Keeps the pause between two questions within its bounds.
const MOST_DOUBLINGS: u32 = 6;
const LEAST_SHARE: f64 = 0.1;
/// Thousandths in one.
const MILLI: f64 = 1_000.0;

/// The credit of a team at a node that takes its requests in.
#[derive(Clone, Debug)]
pub struct TeamCredit {
    left: u32,
    /// What is left lapses then.
    lapses: MonotonicTime,
    /// Requests a second of late, as of `counted`.
    demand: f64,
    counted: MonotonicTime,
    /// Credit a second that the node may give itself while no owner answers.
    share: f64,
    /// When an owner last answered.
    answered: Option<MonotonicTime>,
    /// Up to when the node has given itself its part, and what of it is not a whole credit.
    given_until: MonotonicTime,
    given_part: f64,
    /// Part of what is left that the node has given itself; used first.
    given: u32,
    /// Credit of its own giving that it has used since an owner last answered.
    used: u32,
    /// The owner has said that there is no credit before.
    spent_until: MonotonicTime,
    /// Answers by which there was none, less those by which there was some.
    denials: u32,
}

impl TeamCredit {
    /// No credit yet.
    pub fn new(now: MonotonicTime) -> Self {
        Self {
            left: 0,
            lapses: now,
            demand: 0.0,
            counted: now,
            share: 0.0,
            answered: None,
            given_until: now,
            given_part: 0.0,
            given: 0,
            used: 0,
            spent_until: now,
            denials: 0,
        }
    }

    /// Counts a request of the team.
    pub fn note_demand(&mut self, now: MonotonicTime) {
        self.demand = self.demand_at(now) + 1.0 / DEMAND_TIME.as_secs_f64();
        self.counted = now;
    }

    /// Takes the credit for one request, if there is any.
    pub fn take(&mut self, now: MonotonicTime) -> bool {
        self.forget_lapsed(now);
        let has_any = self.left > 0;
        self.left -= u32::from(has_any);
        let is_own = self.given > 0;
        self.given -= u32::from(is_own);
        self.used += u32::from(is_own);
        has_any
    }

    /// The request for which credit was taken has not run, nor will it. What has lapsed meanwhile is lost.
    pub fn give_back(&mut self, now: MonotonicTime) {
        if now < self.lapses {
            self.left += 1;
        }
    }

    /// Credit to ask for now, with `waiting` requests at hand that have none; 0 if there is enough.
    pub fn wanted(&mut self, now: MonotonicTime, waiting: u32) -> u32 {
        self.forget_lapsed(now);
        if self.spent_for(now).is_some() {
            return 0;
        }
        let ahead = self.demand_at(now) * AHEAD.as_secs_f64();
        // Half of it is enough to go on with while the next is asked for.
        let is_low = f64::from(self.left) < ahead / 2.0;
        if waiting == 0 && !is_low {
            return 0;
        }
        // Some hundred at most; whole numbers only, so that a team with few requests asks for each as it comes.
        (ahead as u32).saturating_sub(self.left) + waiting
    }

    /// Credit that the node has given itself and used since an owner last answered: the next one is to be told.
    pub fn used(&self) -> u32 {
        self.used
    }

    /// Takes in the answer of an owner that was told of what was [`used`](Self::used).
    pub fn grant(&mut self, now: MonotonicTime, grant: CreditGrant) {
        self.add(now, grant.granted);
        self.used = 0;
        self.share = f64::from(grant.share_milli) / MILLI;
        self.answered = Some(now);
        self.given_until = now;
        self.given_part = 0.0;
        self.spent_until = now + self.pause(grant);
    }

    /// Time before the owner is asked again: until there is credit, longer with each answer by which others had taken it, and
    /// no longer than it takes for the node's own part of the rate.
    fn pause(&mut self, grant: CreditGrant) -> Duration {
        if grant.granted > 0 {
            self.denials = self.denials.saturating_sub(1);
            return Duration::ZERO;
        }
        let doubled = grant.wait * (1 << self.denials);
        self.denials = MOST_DOUBLINGS.min(self.denials + 1);
        let own = Duration::from_secs_f64(1.0 / self.share.max(LEAST_SHARE));
        doubled.min(own.max(grant.wait))
    }

    /// No owner answers: the node gives itself its part of the rate, for a while.
    pub fn go_alone(&mut self, now: MonotonicTime) {
        let Some(answered) = self.answered else { return };
        let until = now.min(answered + ALONE_TIME);
        let time = until.since(self.given_until).as_secs_f64();
        let part = self.given_part + self.share * time;
        // A part of a second's rate.
        let whole = part as u32;
        self.given_part = part - f64::from(whole);
        self.given_until = self.given_until.max(until);
        self.add(now, whole);
        self.given += whole;
    }

    /// Time until the owner has credit again, if it has said that it has none.
    pub fn spent_for(&self, now: MonotonicTime) -> Option<Duration> {
        let wait = self.spent_until.since(now);
        (wait > Duration::ZERO).then_some(wait)
    }

    /// Whether the team has sent nothing for long.
    pub fn is_idle(&self, now: MonotonicTime) -> bool {
        now.since(self.counted) >= FORGET_AFTER
    }

    fn add(&mut self, now: MonotonicTime, credit: u32) {
        self.forget_lapsed(now);
        if credit > 0 {
            self.left += credit;
            self.lapses = now + LAPSE;
        }
    }

    fn forget_lapsed(&mut self, now: MonotonicTime) {
        if now >= self.lapses {
            self.left = 0;
            self.given = 0;
        }
    }

    fn demand_at(&self, now: MonotonicTime) -> f64 {
        let time = now.since(self.counted).as_secs_f64();
        self.demand * (-time / DEMAND_TIME.as_secs_f64()).exp()
    }
}
