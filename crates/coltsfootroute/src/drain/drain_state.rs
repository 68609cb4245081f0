//! State of a drain.

use super::{DrainPhase, DrainReport, DrainSettings, ListenerKind, StartDecision};
use crate::time::MonotonicTime;

/// State of the drain of a node, or of the upstream on the same host.
///
/// Invariants: after [`DrainState::begin`] no work from other nodes starts; client requests start only
/// until the end of the notice period; nested work starts only while other work is in flight; the phase
/// never moves backward, and is never `Drained` while work is in flight.
#[derive(Clone, Debug)]
pub struct DrainState {
    settings: DrainSettings,
    started_at: Option<MonotonicTime>,
    in_flight: u64,
    refused: u64,
}

impl DrainState {
    /// Creates the state of a process that is not draining.
    pub fn new(settings: DrainSettings) -> Self {
        Self { settings, started_at: None, in_flight: 0, refused: 0 }
    }

    /// Starts the drain; returns whether it had not started before. Further calls have no effect.
    pub fn begin(&mut self, now: MonotonicTime) -> bool {
        let first = self.started_at.is_none();
        self.started_at.get_or_insert(now);
        first
    }

    /// Requests to start a client's request at `now`. A draining node still accepts client requests during
    /// the notice period, since it can route them to other hosts.
    pub fn try_start_client(&mut self, now: MonotonicTime) -> StartDecision {
        if self.started_at.is_some_and(|started_at| started_at + self.settings.notice <= now) {
            self.refused += 1;
            return StartDecision::Refused;
        }
        self.in_flight += 1;
        StartDecision::Started
    }

    /// Requests to start a call from another node to the upstream on the same host. It is refused once the
    /// drain has started.
    pub fn try_start(&mut self) -> StartDecision {
        if self.started_at.is_some() {
            self.refused += 1;
            return StartDecision::Refused;
        }
        self.in_flight += 1;
        StartDecision::Started
    }

    /// Requests to start a nested call of work that is in flight here. Refusing it would interrupt that
    /// work, so it is refused only if the drain has started and no work is in flight.
    pub fn try_start_nested(&mut self) -> StartDecision {
        if self.started_at.is_some() && self.in_flight == 0 {
            self.refused += 1;
            return StartDecision::Refused;
        }
        self.in_flight += 1;
        StartDecision::Started
    }

    /// Records the end of work. Must be called once for each start. Its answer may still be on its way to the caller: see
    /// [`UnsentAnswers`](super::UnsentAnswers).
    pub fn finish(&mut self) {
        debug_assert!(self.in_flight > 0, "finish without a matching start");
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Returns the phase at `now`.
    pub fn phase(&self, now: MonotonicTime) -> DrainPhase {
        match self.started_at {
            None => DrainPhase::Serving,
            Some(started_at) if self.in_flight == 0 && started_at + self.settings.notice <= now => {
                DrainPhase::Drained
            }
            Some(_) => DrainPhase::Leaving,
        }
    }

    /// Returns whether responses must ask the caller to close its connection.
    pub fn closes_connections(&self) -> bool {
        self.started_at.is_some()
    }

    /// Returns whether a connection of `listener` that has been idle since `idle_since` may be closed.
    pub fn may_close(
        &self,
        now: MonotonicTime,
        listener: ListenerKind,
        idle_since: MonotonicTime,
    ) -> bool {
        let Some(started_at) = self.started_at else { return false };
        let from = idle_since.max(started_at);
        from + self.settings.idle_grace(listener) <= now
    }

    /// Returns a report if work is still in flight, or there are `unsent` answers,
    /// [`DrainSettings::report_after`] after the start of the drain; `None` otherwise.
    pub fn overdue(&self, now: MonotonicTime, unsent: usize) -> Option<DrainReport> {
        let started_at = self.started_at?;
        let waited = now.since(started_at);
        let is_waiting = self.in_flight > 0 || unsent > 0;
        let late = waited >= self.settings.report_after && is_waiting;
        late.then_some(DrainReport { in_flight: self.in_flight, unsent, waited })
    }

    /// Returns the number of requests and calls in flight.
    pub fn in_flight(&self) -> u64 {
        self.in_flight
    }

    /// Returns the number of requests and calls refused because of the drain.
    pub fn refused(&self) -> u64 {
        self.refused
    }
}
