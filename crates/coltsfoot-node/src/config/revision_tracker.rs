//! Tracks the configuration held by a node, whether it may be put in force, and the recent revisions.

use std::{sync::Arc, time::Duration};

use coltsfootroute::{
    event::EventKind,
    id::NodeId,
    revision::{
        ApplyOutcome, ChainDigest, ConfigDelta, ConfigState, DeltaFault, HistoryRecord,
        InForceRecord, RecentHistory, Revision, RevisionRecord, StartGate,
    },
    schema::SchemaDocument,
};

use super::{ConfigInForce, ConfigOrigin};
use crate::clock::wall_millis;

/// Maximum number of revisions kept for peers and operators.
const MAX_RECENT_REVISIONS: usize = 256;

/// Configuration state of the node, with its start gate and recent history.
///
/// Invariant: the revision held never decreases, and no configuration is published before the start gate is open.
pub struct RevisionTracker {
    node: NodeId,
    state: ConfigState,
    gate: StartGate,
    recent: RecentHistory,
    /// Revision last returned by `take_newer_config`; `Revision::ZERO` before the first.
    published: Revision,
    /// Revision in force before `published`; `Revision::ZERO` if there was none.
    previous: Revision,
}

impl RevisionTracker {
    /// Creates a tracker without a configuration. While the store is down, the start gate waits for `peers` before the
    /// node may accept work.
    pub fn new(node: NodeId, peers: &[NodeId], origin: ConfigOrigin) -> Self {
        let mut gate = StartGate::new();
        for peer in peers {
            gate.await_peer(*peer);
        }
        let state = match origin {
            ConfigOrigin::Submitted => ConfigState::new(),
            ConfigOrigin::External => ConfigState::with_external_history(),
        };
        let recent = RecentHistory::new(MAX_RECENT_REVISIONS);
        let (published, previous) = (Revision::ZERO, Revision::ZERO);
        Self { node, state, gate, recent, published, previous }
    }

    /// Returns the revision held, which may not be in force yet.
    pub fn held(&self) -> Revision {
        self.state.revision()
    }

    /// Returns the chain digest of the revision held; `None` if no revision is held.
    pub fn held_chain(&self) -> Option<ChainDigest> {
        self.state.record().map(|record| record.chain)
    }

    /// Applies the delta sent by `peer`; `None` means that the peer holds no newer revision.
    ///
    /// # Errors
    ///
    /// [`DeltaFault`] if the delta does not apply to the state held, which then stays unchanged.
    pub fn apply_peer_delta(
        &mut self,
        peer: NodeId,
        delta: Option<&ConfigDelta>,
    ) -> Result<(), DeltaFault> {
        let peer_revision = delta.map_or(Revision::ZERO, ConfigDelta::to);
        self.gate.record_peer_revision(peer, peer_revision);
        let Some(delta) = delta else { return Ok(()) };
        let applied = self.state.apply_delta(delta)?;
        self.record_applied(&applied, &delta.record);
        Ok(())
    }

    /// Makes the start gate stop waiting for `peer`, which did not answer.
    pub fn stop_awaiting_peer(&mut self, peer: NodeId) {
        self.gate.stop_awaiting(peer);
    }

    /// Applies the newest revision in the table service; `None` if the service holds none, or the one already held
    /// by this node.
    ///
    /// # Errors
    ///
    /// [`DeltaFault`] if the document does not match its record; the state held then stays unchanged.
    pub fn apply_store_row(
        &mut self,
        newest: Option<(&RevisionRecord, &SchemaDocument)>,
    ) -> Result<(), DeltaFault> {
        let Some((record, document)) = newest else {
            self.gate.record_store_revision(Revision::ZERO);
            return Ok(());
        };
        self.gate.record_store_revision(record.revision);
        let applied = self.state.apply_document(record, document)?;
        self.record_applied(&applied, record);
        Ok(())
    }

    fn record_applied(&mut self, applied: &ApplyOutcome, record: &RevisionRecord) {
        if let ApplyOutcome::Advanced { revision, .. } = applied {
            self.recent.push(record.clone());
            self.recent.note_in_force(InForceRecord {
                revision: *revision,
                chain: record.chain,
                node: self.node,
                wall_ms: wall_millis(),
            });
        }
    }

    /// Returns the configuration to put in force, and marks it as published; `None` if none is newer than the last one
    /// published, or if the start gate is still closed.
    pub fn take_newer_config(&mut self) -> Option<Arc<ConfigInForce>> {
        let held = self.held();
        if held <= self.published || !self.gate.try_open(held) {
            return None;
        }
        self.previous = std::mem::replace(&mut self.published, held);
        Some(Arc::new(ConfigInForce::new(self.state.clone(), route_seed(self.node))))
    }

    /// Returns the event for the revision last published. `from` is the peer that sent it, `None` if it came from the
    /// store; `waited` is the time between the notification of this node and the publication.
    pub fn in_force_event(&self, from: Option<NodeId>, waited: Duration) -> EventKind {
        let previous = (self.previous > Revision::ZERO).then_some(self.previous.0);
        let waited_ms = u64::try_from(waited.as_millis()).unwrap_or(u64::MAX);
        EventKind::RevisionInForce { revision: self.published.0, previous, from, waited_ms }
    }

    /// Returns the recent revisions as this node received them.
    pub fn recent(&self) -> Vec<HistoryRecord> {
        self.recent.after(Revision::ZERO).cloned().collect()
    }
}

/// Seed derived from the node's id, so that nodes start their weighted routes at different targets.
fn route_seed(node: NodeId) -> u64 {
    twox_hash::XxHash64::oneshot(0, node.to_string().as_bytes())
}
