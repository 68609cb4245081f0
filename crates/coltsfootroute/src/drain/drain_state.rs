//! State of a leave.

use super::{DrainPhase, DrainReport, DrainSettings, ListenerKind, StartDecision};
use crate::time::MonotonicTime;

/// Leave of a node, or of the upstream beside it.
///
/// Invariants: after [`DrainState::begin`] no new work starts; nested work starts only while other
/// work is in flight; the phase only moves forward, and is never `Drained` while anything is in flight.
#[derive(Clone, Debug)]
pub struct DrainState {
    settings: DrainSettings,
    started_at: Option<MonotonicTime>,
    in_flight: u64,
    refused: u64,
}

impl DrainState {
    /// A process that serves.
    pub fn new(settings: DrainSettings) -> Self {
        Self { settings, started_at: None, in_flight: 0, refused: 0 }
    }

    /// Begins the leave; returns whether it had not begun before. A second call changes nothing.
    pub fn begin(&mut self, now: MonotonicTime) -> bool {
        let first = self.started_at.is_none();
        self.started_at.get_or_insert(now);
        first
    }

    /// Asks to take in a client's request at `now`. A leaving node still takes them in while callers
    /// learn of the leave, since it can route them to other hosts.
    pub fn try_start_client(&mut self, now: MonotonicTime) -> StartDecision {
        if self.started_at.is_some_and(|started_at| started_at + self.settings.notice <= now) {
            self.refused += 1;
            return StartDecision::Refused;
        }
        self.in_flight += 1;
        StartDecision::Started
    }

    /// Asks to start work for the upstream beside the node: a call from another node.
    pub fn try_start(&mut self) -> StartDecision {
        if self.started_at.is_some() {
            self.refused += 1;
            return StartDecision::Refused;
        }
        self.in_flight += 1;
        StartDecision::Started
    }

    /// Asks to start a nested call of work that is in flight here: refusing it would interrupt that
    /// work, so it starts as long as there is any.
    pub fn try_start_nested(&mut self) -> StartDecision {
        if self.started_at.is_some() && self.in_flight == 0 {
            self.refused += 1;
            return StartDecision::Refused;
        }
        self.in_flight += 1;
        StartDecision::Started
    }

    /// Counts the end of work, its answer written; once for each start.
    pub fn finish(&mut self) {
        debug_assert!(self.in_flight > 0, "finish without a matching start");
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Phase at `now`.
    pub fn phase(&self, now: MonotonicTime) -> DrainPhase {
        match self.started_at {
            None => DrainPhase::Serving,
            Some(started_at) if self.in_flight == 0 && started_at + self.settings.notice <= now => {
                DrainPhase::Drained
            }
            Some(_) => DrainPhase::Leaving,
        }
    }

    /// Whether answers must ask the caller to close its connection.
    pub fn closes_connections(&self) -> bool {
        self.started_at.is_some()
    }

    /// Whether a connection of `listener`, idle since `idle_since`, may be closed.
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

    /// What is left of a leave that takes longer than its bound.
    pub fn overdue(&self, now: MonotonicTime) -> Option<DrainReport> {
        let started_at = self.started_at?;
        let waited = now.since(started_at);
        let late = waited >= self.settings.report_after && self.in_flight > 0;
        late.then_some(DrainReport { in_flight: self.in_flight, waited })
    }

    /// Work in flight.
    pub fn in_flight(&self) -> u64 {
        self.in_flight
    }

    /// Work refused because of the leave.
    pub fn refused(&self) -> u64 {
        self.refused
    }
}
