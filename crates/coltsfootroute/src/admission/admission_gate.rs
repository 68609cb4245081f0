//! Admission gate of one upstream.

use std::time::Duration;

use indexmap::IndexMap;

use super::{
    AdmissionDecision, AdmissionSettings, AdmissionVerdict, AimdLimit, CallFinish,
    ConcurrencyLimit, FinishSample, QueueOrder, ShedLevel, ShedPolicy, WaitingCall,
    call_queue::CallQueue, demand_control::DemandControl, queued_call::QueuedCall,
    service_time::ServiceTime, shed_control::ShedControl, waiting_call::RANKS,
};
use crate::{
    importance::Importance,
    outcome::RefusalReason,
    time::MonotonicTime,
    upstream_limit::{RateLimiter, RequestRate},
};

/// Concurrency limit of a gate for which no other is chosen.
pub type DefaultLimit = AimdLimit;

/// Decides which calls to one upstream run, wait or are refused.
///
/// Every offered call gets exactly one verdict, from [`AdmissionGate::offer`] or from a later method,
/// unless it is cancelled while it waits. Each method returns all verdicts that became due, including
/// those on other calls. The owner applies the verdicts, reports the end of each call that ran with
/// [`AdmissionGate::finish`], and calls [`AdmissionGate::tick`] at [`AdmissionGate::next_wakeup`].
///
/// Invariants: no more calls start than the limit allows, and the limit is at most the slots; no call starts above the
/// rate that the upstream names; a call is refused for overload only when no call of lower rank waits; no call starts after
/// its deadline.
#[derive(Clone, Debug)]
pub struct AdmissionGate<L: ConcurrencyLimit = DefaultLimit> {
    settings: AdmissionSettings,
    limit: L,
    running: IndexMap<u64, RunningCall>,
    queue: CallQueue,
    /// Time since which the queue has not been empty; `None` while it is empty.
    nonempty_since: Option<MonotonicTime>,
    /// By rank, because nested calls are different work from the calls of clients at the same importance.
    service_times: [ServiceTime; RANKS],
    shed: ShedControl,
    demand: DemandControl,
    /// Rate that the upstream names as its limit.
    rate: RateLimiter,
    /// Demand compared with that rate.
    rate_demand: DemandControl,
    draining: bool,
}

/// Call in flight to the upstream.
#[derive(Clone, Copy, Debug)]
struct RunningCall {
    rank: usize,
    started: MonotonicTime,
}

impl AdmissionGate {
    /// Creates a gate with the default limit.
    pub fn new(settings: AdmissionSettings) -> Self {
        Self::with_limit(settings, AimdLimit::new(settings.usable_slots()))
    }
}

impl<L: ConcurrencyLimit> AdmissionGate<L> {
    /// Creates a gate with the given limit, and sets the limit's ceiling to the usable slots.
    pub fn with_limit(settings: AdmissionSettings, mut limit: L) -> Self {
        limit.set_ceiling(settings.usable_slots());
        Self {
            settings,
            limit,
            running: IndexMap::new(),
            queue: CallQueue::new(settings.lane_order),
            nonempty_since: None,
            service_times: [ServiceTime::default(); RANKS],
            shed: ShedControl::new(),
            demand: DemandControl::new(),
            rate: RateLimiter::new(),
            rate_demand: DemandControl::per_second(),
            draining: false,
        }
    }

    /// Offers a call; it starts, waits or is refused.
    pub fn offer(&mut self, now: MonotonicTime, call: WaitingCall) -> Vec<AdmissionVerdict> {
        let mut verdicts = self.advance(now);
        self.shed.on_offer();
        self.demand.on_offer(call.rank());
        self.rate_demand.on_offer(call.rank());
        if self.draining {
            verdicts.push(refusal(call.id, RefusalReason::Leaving));
        } else if self.will_miss_deadline(now, &call) {
            verdicts.push(refusal(call.id, RefusalReason::Deadline));
        } else if self.has_room() {
            self.start(now, &call, &mut verdicts);
        } else {
            self.enqueue(now, call, &mut verdicts);
        }
        verdicts
    }

    /// Reports the end of a call that ran; an unknown `id` is ignored.
    pub fn finish(
        &mut self,
        now: MonotonicTime,
        id: u64,
        finish: CallFinish,
    ) -> Vec<AdmissionVerdict> {
        let mut verdicts = self.advance(now);
        let in_flight = self.in_flight();
        let Some(call) = self.running.swap_remove(&id) else { return verdicts };
        let service_time = now.since(call.started);
        self.demand.on_finish(call.rank, service_time);
        let times = &mut self.service_times[call.rank];
        match finish {
            CallFinish::Succeeded => times.record(now, service_time),
            CallFinish::TimedOut | CallFinish::Cancelled => {
                times.record_unfinished(now, service_time)
            }
            CallFinish::Failed | CallFinish::ShedByUpstream => (),
        }
        self.limit.on_finish(now, &FinishSample { finish, service_time, in_flight });
        self.start_waiting(now, &mut verdicts);
        verdicts
    }

    /// Cancels a waiting call, which then gets no verdict. A call in flight keeps its slot until
    /// [`AdmissionGate::finish`] reports that the upstream has stopped working on it.
    pub fn cancel(&mut self, now: MonotonicTime, id: u64) -> Vec<AdmissionVerdict> {
        // Removed before the expiries are handled: the call may expire at `now` and would then get a verdict.
        self.queue.remove(id);
        self.advance(now)
    }

    /// Refuses the waiting calls that have expired by `now`, and starts those for which the upstream's rate leaves room.
    pub fn tick(&mut self, now: MonotonicTime) -> Vec<AdmissionVerdict> {
        self.advance(now)
    }

    /// Returns the time at which [`AdmissionGate::tick`] must be called, for the next expiry or start; `None` while no
    /// call waits.
    pub fn next_wakeup(&self) -> Option<MonotonicTime> {
        let expiry = self.queue.next_expiry()?;
        let start = self.rate.next_token_at().filter(|_| self.has_slot());
        Some(start.map_or(expiry, |start| start.min(expiry)))
    }

    /// Sets the limit that the upstream names in its answers; `None` lifts it gradually. Refuses the waiting calls that
    /// the rate can no longer serve in time.
    pub fn set_upstream_limit(
        &mut self,
        now: MonotonicTime,
        limit: Option<RequestRate>,
    ) -> Vec<AdmissionVerdict> {
        self.rate.set_limit(now, limit);
        let mut verdicts = self.advance(now);
        let servable = self.rate.tokens_within(self.settings.max_queue_delay);
        while self.queued() > servable {
            let Some(rank) = self.queue.lowest_rank() else { break };
            let Some(evicted) = self.queue.evict(rank, true) else { break };
            verdicts.push(refusal(evicted.call.id, RefusalReason::UpstreamLimit));
        }
        self.update_nonempty_since(now);
        verdicts
    }

    /// Removes the limit at once, for an upstream that has named none.
    pub fn reset_upstream_limit(&mut self, now: MonotonicTime) -> Vec<AdmissionVerdict> {
        self.rate = RateLimiter::new();
        self.advance(now)
    }

    /// Returns the limiter for the rate that the upstream names.
    pub fn rate(&self) -> &RateLimiter {
        &self.rate
    }

    /// Returns the shed level that follows from the rate that the upstream names.
    pub fn rate_level(&self) -> ShedLevel {
        self.rate_demand.level()
    }

    /// Returns the ratio of the calls offered to the rate that the upstream names; 0 if it names none.
    pub fn rate_load(&self) -> f64 {
        self.rate_demand.load(self.rate.capacity())
    }

    /// Starts to refuse new calls with [`RefusalReason::Leaving`]; calls that wait or run are not affected.
    pub fn drain(&mut self, _now: MonotonicTime) {
        self.draining = true;
    }

    /// Returns whether the gate drains and no call waits or runs.
    pub fn is_drained(&self) -> bool {
        self.draining && self.running.is_empty() && self.queue.is_empty()
    }

    /// Returns the shed level to send to callers.
    pub fn shed_level(&self, now: MonotonicTime) -> ShedLevel {
        match self.settings.shed_policy {
            ShedPolicy::Refusals => self.shed.level(now),
            ShedPolicy::Demand => self.demand.level(),
        }
    }

    /// Returns the number of calls in flight to the upstream.
    pub fn in_flight(&self) -> u32 {
        self.running.len() as u32
    }

    /// Returns the number of waiting calls.
    pub fn queued(&self) -> u32 {
        self.queue.len() as u32
    }

    /// Returns the largest number of calls that may be in flight now.
    pub fn limit(&self) -> u32 {
        self.limit.limit()
    }

    /// Returns the largest number of calls that may wait.
    pub fn queue_length(&self) -> u32 {
        self.settings.queue_length
    }

    /// Returns the estimated median time from dispatch to response for calls made by clients; zero
    /// before the first response. Nested calls are estimated separately.
    pub fn service_time(&self, now: MonotonicTime, importance: Importance) -> Duration {
        self.service_times[importance.index() * 2].estimate(now)
    }

    /// Sets the number of the upstream's slots, at least 1.
    pub fn set_slots(&mut self, now: MonotonicTime, slots: u32) -> Vec<AdmissionVerdict> {
        let mut verdicts = self.advance(now);
        self.settings.slots = slots.max(1);
        self.limit.set_ceiling(self.settings.usable_slots());
        self.start_waiting(now, &mut verdicts);
        verdicts
    }

    /// Advances the gate to `now`: closes observation windows, refuses expired calls, and starts those for which the
    /// upstream's rate leaves room again.
    fn advance(&mut self, now: MonotonicTime) -> Vec<AdmissionVerdict> {
        let mut verdicts = Vec::new();
        self.shed.advance(now, !self.has_slot());
        self.demand.advance(now, f64::from(self.limit.limit()));
        self.rate.advance(now);
        self.rate_demand.advance(now, self.rate.capacity());
        while let Some(queued) = self.queue.pop_expired(now) {
            match queued.expiry_reason {
                RefusalReason::Overload => self.refuse_for_overload(&queued.call, &mut verdicts),
                reason => verdicts.push(refusal(queued.call.id, reason)),
            }
        }
        self.start_waiting(now, &mut verdicts);
        verdicts
    }

    fn has_room(&self) -> bool {
        self.has_slot() && self.rate.has_token()
    }

    fn has_slot(&self) -> bool {
        self.in_flight() < self.limit.limit()
    }

    /// Returns whether calls wait for the rate that the upstream names, and not for a slot.
    fn is_rate_bound(&self) -> bool {
        self.has_slot() && !self.rate.has_token()
    }

    /// Returns whether the call is expected to miss its deadline even if it started now.
    fn will_miss_deadline(&self, now: MonotonicTime, call: &WaitingCall) -> bool {
        now >= call.deadline || now + self.service_times[call.rank()].estimate(now) > call.deadline
    }

    fn is_overloaded(&self, now: MonotonicTime) -> bool {
        self.nonempty_since.is_some_and(|since| now.since(since) >= self.settings.overload_interval)
    }

    fn serves_newest(&self, now: MonotonicTime) -> bool {
        match self.settings.queue_order {
            QueueOrder::OldestFirst => false,
            QueueOrder::NewestFirstUnderOverload => self.is_overloaded(now),
        }
    }

    fn start(
        &mut self,
        now: MonotonicTime,
        call: &WaitingCall,
        verdicts: &mut Vec<AdmissionVerdict>,
    ) {
        self.rate.acquire(now);
        let running = RunningCall { rank: call.rank(), started: now };
        self.running.insert(call.id, running);
        verdicts.push(AdmissionVerdict { id: call.id, decision: AdmissionDecision::Run });
    }

    fn start_waiting(&mut self, now: MonotonicTime, verdicts: &mut Vec<AdmissionVerdict>) {
        let newest = self.serves_newest(now);
        while self.has_room() {
            let Some(queued) = self.queue.pop(newest) else { break };
            if self.will_miss_deadline(now, &queued.call) {
                verdicts.push(refusal(queued.call.id, RefusalReason::Deadline));
            } else {
                self.start(now, &queued.call, verdicts);
            }
        }
        self.update_nonempty_since(now);
    }

    fn enqueue(
        &mut self,
        now: MonotonicTime,
        call: WaitingCall,
        verdicts: &mut Vec<AdmissionVerdict>,
    ) {
        let is_full = self.queued() >= self.max_queued(now, &call);
        if is_full && !self.make_room(now, &call, verdicts) {
            self.refuse_for_overload(&call, verdicts);
            return;
        }
        let queued = self.queued_call(now, call);
        self.queue.push(queued);
        self.update_nonempty_since(now);
    }

    /// Returns the number of calls that may wait when `call` arrives: no more than the upstream's rate can serve before
    /// they would be refused.
    fn max_queued(&self, now: MonotonicTime, call: &WaitingCall) -> u32 {
        self.settings.queue_length.min(self.rate.tokens_within(self.queue_delay(now, call)))
    }

    /// Evicts a waiting call in favour of `call`; returns `false` if every waiting call takes precedence
    /// over it.
    fn make_room(
        &mut self,
        now: MonotonicTime,
        call: &WaitingCall,
        verdicts: &mut Vec<AdmissionVerdict>,
    ) -> bool {
        let Some(rank) = self.queue.lowest_rank() else { return false };
        let newest_first = self.serves_newest(now);
        if rank > call.rank()
            || (rank == call.rank() && !self.queue.lane(rank).yields_to(newest_first, call))
        {
            return false;
        }
        let Some(evicted) = self.queue.evict(rank, newest_first) else { return false };
        self.refuse_for_overload(&evicted.call, verdicts);
        true
    }

    fn queued_call(&self, now: MonotonicTime, call: WaitingCall) -> QueuedCall {
        let wait_limit = now + self.queue_delay(now, &call);
        let last_start = call.deadline - self.service_times[call.rank()].estimate(now);
        if last_start < wait_limit {
            let expiry_reason = RefusalReason::Deadline;
            QueuedCall { call, expiry: last_start, expiry_reason }
        } else {
            let expiry_reason = RefusalReason::Overload;
            QueuedCall { call, expiry: wait_limit, expiry_reason }
        }
    }

    /// Returns the longest time that `call` waits.
    fn queue_delay(&self, now: MonotonicTime, call: &WaitingCall) -> Duration {
        // Refusing a nested call wastes the work already done by its callers, so only other calls get the short wait.
        let is_short = self.is_overloaded(now) && !call.under_way;
        let settings = &self.settings;
        if is_short { settings.overload_queue_delay } else { settings.max_queue_delay }
    }

    /// Refuses `call`, and before it every waiting call of a lower rank: no slot became free for `call`,
    /// so none would have become free for them.
    fn refuse_for_overload(&mut self, call: &WaitingCall, verdicts: &mut Vec<AdmissionVerdict>) {
        while let Some(rank) = self.queue.lowest_rank().filter(|rank| *rank < call.rank()) {
            let Some(evicted) = self.queue.evict(rank, true) else { break };
            self.refuse_for_load(&evicted.call, verdicts);
        }
        self.refuse_for_load(call, verdicts);
    }

    /// Refuses `call` for a lack of slots or for the rate that the upstream names. Only the former raises the shed level
    /// that is derived from refusals; the rate has a level of its own.
    fn refuse_for_load(&mut self, call: &WaitingCall, verdicts: &mut Vec<AdmissionVerdict>) {
        let reason = if self.is_rate_bound() {
            RefusalReason::UpstreamLimit
        } else {
            self.shed.on_refusal(call.importance);
            RefusalReason::Overload
        };
        verdicts.push(refusal(call.id, reason));
    }

    fn update_nonempty_since(&mut self, now: MonotonicTime) {
        if self.queue.is_empty() {
            self.nonempty_since = None;
        } else {
            self.nonempty_since.get_or_insert(now);
        }
    }
}

fn refusal(id: u64, reason: RefusalReason) -> AdmissionVerdict {
    AdmissionVerdict { id, decision: AdmissionDecision::Refuse(reason) }
}
