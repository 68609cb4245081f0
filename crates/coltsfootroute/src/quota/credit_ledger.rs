//! Credit of the teams that a node owns.

use std::time::Duration;

use indexmap::IndexMap;

use super::{CreditGrant, RateUsage, usage_meter::UsageMeter};
use crate::{
    id::NodeId, name::TeamName, schema::RateLimit, table::TokenBucket, time::MonotonicTime,
};

/// Time after a start, or after a change of the nodes that may own credit, during which another node may have recently
/// granted credit of a team that has not expired yet.
pub const SETTLING_TIME: Duration = Duration::from_secs(5);
/// Time for which a new owner grants only a part of the rate, since some nodes may still send requests to the previous
/// owner.
const REDUCED_RATE_TIME: Duration = Duration::from_secs(2);
/// Fraction of the rate that a new owner grants during [`REDUCED_RATE_TIME`].
const REDUCED_RATE_FACTOR: f64 = 0.5;
/// Time without credit requests after which an owner may not have been the owner throughout.
const MAX_REQUEST_GAP: Duration = Duration::from_secs(1);
/// Time without credit requests after which a node has no share of the rate.
const REQUESTER_TIMEOUT: Duration = Duration::from_secs(2);
/// Time without credit requests after which a team is removed: its bucket is full again.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);
const MILLIS_PER_UNIT: u32 = 1_000;

/// Credit of the teams that a node owns.
///
/// A new owner starts with an empty bucket and half of the rate: it doesn't know how much the previous owner has
/// granted, and that one may continue for a moment while nodes disagree about the members.
#[derive(Clone, Debug, Default)]
pub struct CreditLedger {
    teams: IndexMap<TeamName, OwnedCredit>,
    /// Whether grants report the usage of the rate.
    reports_usage: bool,
}

/// Credit of one team.
#[derive(Clone, Debug)]
struct OwnedCredit {
    limit: RateLimit,
    bucket: TokenBucket,
    /// Time until which only a part of the rate is granted; `None` for the full rate.
    reduced_until: Option<MonotonicTime>,
    /// Whether the credit has been restarted since another node may have owned it.
    is_restarted: bool,
    last_request_at: MonotonicTime,
    /// Nodes that recently requested credit, with the time of their last request.
    requesters: IndexMap<NodeId, MonotonicTime>,
    /// Requests granted or charged, at the full rate.
    meter: UsageMeter,
}

/// Request of a node for credit of a team.
#[derive(Clone, Copy, Debug)]
pub struct CreditRequest<'a> {
    /// Node that requests credit.
    pub requester: NodeId,
    /// Team whose credit is requested.
    pub team: &'a TeamName,
    /// Rate limit of the team.
    pub limit: RateLimit,
    /// Number of requests to admit.
    pub wanted: u32,
    /// Number of requests that the requester has admitted on its own share since it was last answered.
    pub used: u32,
}

impl CreditLedger {
    /// Creates a ledger without teams.
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets whether grants report how far a team uses its rate; by default they don't.
    pub fn with_usage(mut self, reports_usage: bool) -> Self {
        self.reports_usage = reports_usage;
        self
    }

    /// Grants credit. `is_sole` states that no other node can have owned it for [`SETTLING_TIME`].
    pub fn grant(
        &mut self,
        now: MonotonicTime,
        request: CreditRequest<'_>,
        is_sole: bool,
    ) -> CreditGrant {
        let credit = self.teams.entry(request.team.clone());
        let credit = credit.or_insert_with(|| OwnedCredit::new(now, request.limit, is_sole));
        credit.update(now, request.limit, is_sole);
        let grant = credit.grant(now, &request);
        CreditGrant { usage: credit.usage(now).filter(|_| self.reports_usage), ..grant }
    }

    /// Removes teams for which no node has requested credit for `IDLE_TIMEOUT`.
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
            meter: UsageMeter::new(now),
        };
        if !is_sole {
            credit.restart(now);
        }
        credit
    }

    /// Applies a changed limit, and a change of the nodes that may own the credit.
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
            self.bucket.set_limits(now, self.rate(), limit.burst.into());
        }
        if is_over {
            // What was granted at the reduced rate does not show how much the team uses.
            self.meter = UsageMeter::new(now);
        }
        self.last_request_at = now;
    }

    fn restart(&mut self, now: MonotonicTime) {
        self.is_restarted = true;
        self.reduced_until = Some(now + REDUCED_RATE_TIME);
        self.bucket = TokenBucket::new(self.rate(), self.limit.burst.into()).emptied(now);
    }

    /// Returns the rate at which credit is currently granted, in requests a second.
    fn rate(&self) -> f64 {
        let part = if self.reduced_until.is_some() { REDUCED_RATE_FACTOR } else { 1.0 };
        f64::from(self.limit.per_s) * part
    }

    /// Returns how far the team uses its rate; `None` while that is unknown.
    fn usage(&self, now: MonotonicTime) -> Option<RateUsage> {
        self.meter.usage(now, self.limit.per_s).filter(|_| self.reduced_until.is_none())
    }

    fn grant(&mut self, now: MonotonicTime, request: &CreditRequest<'_>) -> CreditGrant {
        self.requesters.insert(request.requester, now);
        self.requesters.retain(|_, asked| now.since(*asked) < REQUESTER_TIMEOUT);
        // A new owner has no credit from the time of the previous one, to which these requests would be charged.
        if !self.is_restarted {
            self.bucket.charge(now, request.used);
            self.meter.count(now, request.used, self.limit.per_s);
        }
        let granted = self.bucket.acquire_up_to(now, request.wanted);
        self.meter.count(now, granted, self.limit.per_s);
        let wait = match granted {
            0 => self.bucket.time_until_token(),
            _ => Duration::ZERO,
        };
        let requesters = u32::try_from(self.requesters.len()).unwrap_or(u32::MAX).max(1);
        let share_milli = self.limit.per_s.saturating_mul(MILLIS_PER_UNIT) / requesters;
        CreditGrant { granted, wait, share_milli, usage: None }
    }
}
