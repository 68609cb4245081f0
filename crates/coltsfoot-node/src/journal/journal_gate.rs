//! Clock and sequence of the node's events.

use std::sync::{Mutex, MutexGuard, PoisonError};

use coltsfootroute::{
    event::{EventKind, EventRecord, HybridClock},
    id::{Incarnation, NodeId},
};

use super::wall_clock::wall_ms;

/// Clock and sequence of the node's events.
///
/// One lock covers both and the hand-over to the queue, so that sequence, stamps and queue agree on one
/// order. It is held for a clock reading and a copy, never across a wait.
pub(super) struct JournalGate {
    state: Mutex<GateState>,
}

/// State that the gate's lock protects.
pub(super) struct GateState {
    node: NodeId,
    life: Incarnation,
    pub(super) clock: HybridClock,
    /// Sequence number of the next event; also consumed by events that are then dropped.
    pub(super) next_sequence: u64,
    /// Number of events dropped because the queue was full.
    pub(super) dropped: u64,
}

impl JournalGate {
    pub(super) fn new(node: NodeId, life: Incarnation) -> Self {
        let clock = HybridClock::new();
        let state = GateState { node, life, clock, next_sequence: 0, dropped: 0 };
        Self { state: Mutex::new(state) }
    }

    pub(super) fn lock(&self) -> MutexGuard<'_, GateState> {
        // Each update under the lock is complete at every point where it could panic.
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl GateState {
    /// Stamps and numbers an event.
    pub(super) fn record(&mut self, kind: EventKind) -> EventRecord {
        let stamp = self.clock.tick(wall_ms());
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        EventRecord { stamp, node: self.node, incarnation: self.life, sequence, kind }
    }
}
