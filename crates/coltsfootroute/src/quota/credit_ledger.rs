//! The credit of the teams that a node owns.

use std::time::Duration;

use indexmap::IndexMap;

use super::CreditGrant;
use crate::{
    id::NodeId, name::TeamName, schema::RateLimit, table::TokenBucket, time::MonotonicTime,
};

/// After a start, or a change among those that may own credit, another node may have given out a team's credit of late: for
/// as long as what it has given out counts.
pub const SETTLING_TIME: Duration = Duration::from_secs(5);
/// A new owner gives out a part of the rate for so long: until then some nodes may still ask the one before.
const SLOW_TIME: Duration = Duration::from_secs(2);
/// That part.
const SLOW_PART: f64 = 0.5;
/// An owner that was not asked for so long may not have been the owner all the while.
const OWNED_GAP: Duration = Duration::from_secs(1);
/// Who has not asked for so long has no part of the rate.
const ASKER_TIME: Duration = Duration::from_secs(2);
/// Credit that was not asked for so long is full again.
const FORGET_AFTER: Duration = Duration::from_secs(60);
/// Thousandths in one.
const MILLI: u32 = 1_000;

/// The credit of the teams that a node owns.
///
/// A new owner begins with nothing and with half of the rate: what the one before has given out is not known, and it may
/// go on for a moment where nodes disagree about the members.
#[derive(Clone, Debug, Default)]
pub struct CreditLedger {
    teams: IndexMap<TeamName, OwnedCredit>,
}

/// The credit of one team.
#[derive(Clone, Debug)]
struct OwnedCredit {
    limit: RateLimit,
    bucket: TokenBucket,
    /// Until then only a part of the rate is given out.
    slow_until: Option<MonotonicTime>,
    /// Whether the credit has begun anew since another node may have owned it.
    is_fresh: bool,
    asked: MonotonicTime,
    /// Who asked of late, and when last.
    askers: IndexMap<NodeId, MonotonicTime>,
}

/// A question for credit.
#[derive(Clone, Copy, Debug)]
pub struct CreditQuestion<'a> {
    /// Who asks.
    pub asker: NodeId,
    /// Whose credit.
    pub team: &'a TeamName,
    /// Limit of the team.
    pub limit: RateLimit,
    /// Requests to take in.
    pub wanted: u32,
    /// Requests that the asker has taken in without being asked, since it was last answered.
    pub used: u32,
}

impl CreditLedger {
    /// Owns nothing yet.
    pub fn new() -> Self {
        Self::default()
    }

    /// Gives out credit; `is_sole` says whether no other node can have owned it for [`SETTLING_TIME`].
    pub fn ask(
        &mut self,
        now: MonotonicTime,
        question: CreditQuestion<'_>,
        is_sole: bool,
    ) -> CreditGrant {
        let credit = self.teams.entry(question.team.clone());
        let credit = credit.or_insert_with(|| OwnedCredit::new(now, question.limit, is_sole));
        credit.take_up(now, question.limit, is_sole);
        credit.grant(now, &question)
    }

    /// Forgets credit that nobody asks for.
    pub fn prune(&mut self, now: MonotonicTime) {
        self.teams.retain(|_, credit| now.since(credit.asked) < FORGET_AFTER);
    }
}

impl OwnedCredit {
    fn new(now: MonotonicTime, limit: RateLimit, is_sole: bool) -> Self {
        let bucket = TokenBucket::new(limit.per_s.into(), limit.burst.into());
        let askers = IndexMap::new();
        let mut credit =
            Self { limit, bucket, slow_until: None, is_fresh: false, asked: now, askers };
        if !is_sole {
            credit.begin_anew(now);
        }
        credit
    }

    /// Follows a changed limit, and a change among those that may own the credit.
    fn take_up(&mut self, now: MonotonicTime, limit: RateLimit, is_sole: bool) {
        let is_gap = now.since(self.asked) >= OWNED_GAP;
        if is_sole {
            self.is_fresh = false;
        } else if is_gap && !self.is_fresh {
            self.begin_anew(now);
        }
        let is_over = self.slow_until.is_some_and(|until| until <= now);
        if self.limit != limit || is_over {
            self.limit = limit;
            self.slow_until = self.slow_until.filter(|_| !is_over);
            self.bucket.set_limits(now, self.rate(), limit.burst.into());
        }
        self.asked = now;
    }

    fn begin_anew(&mut self, now: MonotonicTime) {
        self.is_fresh = true;
        self.slow_until = Some(now + SLOW_TIME);
        self.bucket = TokenBucket::new(self.rate(), self.limit.burst.into()).emptied(now);
    }

    /// Credit a second that is given out now.
    fn rate(&self) -> f64 {
        let part = if self.slow_until.is_some() { SLOW_PART } else { 1.0 };
        f64::from(self.limit.per_s) * part
    }

    fn grant(&mut self, now: MonotonicTime, question: &CreditQuestion<'_>) -> CreditGrant {
        self.askers.insert(question.asker, now);
        self.askers.retain(|_, asked| now.since(*asked) < ASKER_TIME);
        // A new owner has no credit from the time before it, out of which that was used.
        if !self.is_fresh {
            self.bucket.charge(now, question.used);
        }
        let granted = self.bucket.acquire_up_to(now, question.wanted);
        let wait = match granted {
            0 => self.bucket.time_until_token(),
            _ => Duration::ZERO,
        };
        let askers = u32::try_from(self.askers.len()).unwrap_or(u32::MAX).max(1);
        let share_milli = self.limit.per_s.saturating_mul(MILLI) / askers;
        CreditGrant { granted, wait, share_milli }
    }
}
