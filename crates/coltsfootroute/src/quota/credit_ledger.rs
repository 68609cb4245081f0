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
const REDUCED_RATE_TIME: Duration = Duration::from_secs(2);
/// That part.
const REDUCED_RATE_FACTOR: f64 = 0.5;
/// An owner that was not asked for so long may not have been the owner all the while.
const MAX_REQUEST_GAP: Duration = Duration::from_secs(1);
/// Who has not asked for so long has no part of the rate.
const REQUESTER_TIMEOUT: Duration = Duration::from_secs(2);
/// Credit that was not asked for so long is full again.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);
/// Thousandths in one.
const MILLIS_PER_UNIT: u32 = 1_000;

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
    reduced_until: Option<MonotonicTime>,
    /// Whether the credit has begun anew since another node may have owned it.
    is_restarted: bool,
    last_request_at: MonotonicTime,
    /// Who asked of late, and when last.
    requesters: IndexMap<NodeId, MonotonicTime>,
}

/// A request for credit.
#[derive(Clone, Copy, Debug)]
pub struct CreditRequest<'a> {
    /// Who asks.
    pub requester: NodeId,
    /// Whose credit.
    pub team: &'a TeamName,
    /// Limit of the team.
    pub limit: RateLimit,
    /// Requests to take in.
    pub wanted: u32,
    /// Requests that the requester has taken in without being asked, since it was last answered.
    pub used: u32,
}

impl CreditLedger {
    /// Owns nothing yet.
    pub fn new() -> Self {
        Self::default()
    }

    /// Gives out credit; `is_sole` says whether no other node can have owned it for [`SETTLING_TIME`].
    pub fn grant(
        &mut self,
        now: MonotonicTime,
        request: CreditRequest<'_>,
        is_sole: bool,
    ) -> CreditGrant {
        let credit = self.teams.entry(request.team.clone());
        let credit = credit.or_insert_with(|| OwnedCredit::new(now, request.limit, is_sole));
        credit.update(now, request.limit, is_sole);
        credit.grant(now, &request)
    }

    /// Forgets credit that nobody asks for.
    pub fn prune(&mut self, now: MonotonicTime) {
        self.teams.retain(|_, credit| now.since(credit.last_request_at) < IDLE_TIMEOUT);
    }
}

impl OwnedCredit {
    fn new(now: MonotonicTime, limit: RateLimit, is_sole: bool) -> Self {
        let bucket = TokenBucket::new(limit.per_s.into(), limit.burst.into());
        let requesters = IndexMap::new();
        let mut credit = Self {
            limit,
            bucket,
            reduced_until: None,
            is_restarted: false,
            last_request_at: now,
            requesters,
        };
        if !is_sole {
            credit.restart(now);
        }
        credit
    }

    /// Follows a changed limit, and a change among those that may own the credit.
    fn update(&mut self, now: MonotonicTime, limit: RateLimit, is_sole: bool) {
        let is_gap = now.since(self.last_request_at) >= MAX_REQUEST_GAP;
        if is_sole {
            self.is_restarted = false;
        } else if is_gap && !self.is_restarted {
            self.restart(now);
        }
        let is_over = self.reduced_until.is_some_and(|until| until <= now);
        if self.limit != limit || is_over {
            self.limit = limit;
            self.reduced_until = self.reduced_until.filter(|_| !is_over);
            self.bucket.reshape(now, self.rate(), limit.burst.into());
        }
        self.last_request_at = now;
    }

    fn restart(&mut self, now: MonotonicTime) {
        self.is_restarted = true;
        self.reduced_until = Some(now + REDUCED_RATE_TIME);
        self.bucket = TokenBucket::new(self.rate(), self.limit.burst.into()).emptied(now);
    }

    /// Credit a second that is given out now.
    fn rate(&self) -> f64 {
        let part = if self.reduced_until.is_some() { REDUCED_RATE_FACTOR } else { 1.0 };
        f64::from(self.limit.per_s) * part
    }

    fn grant(&mut self, now: MonotonicTime, request: &CreditRequest<'_>) -> CreditGrant {
        self.requesters.insert(request.requester, now);
        self.requesters.retain(|_, asked| now.since(*asked) < REQUESTER_TIMEOUT);
        // A new owner has no credit from the time before it, out of which that was used.
        if !self.is_restarted {
            self.bucket.charge(now, request.used);
        }
        let granted = self.bucket.take_some(now, request.wanted);
        let wait = match granted {
            0 => self.bucket.time_to_token(),
            _ => Duration::ZERO,
        };
        let requesters = u32::try_from(self.requesters.len()).unwrap_or(u32::MAX).max(1);
        let share_milli = self.limit.per_s.saturating_mul(MILLIS_PER_UNIT) / requesters;
        CreditGrant { granted, wait, share_milli }
    }
}
