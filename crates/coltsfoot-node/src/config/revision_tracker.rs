//! What the configuration duty holds: the state, when it may be used, the recent history.

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

/// Revisions remembered for peers and operators.
const RECENT_REVISIONS: usize = 256;

/// What the configuration duty holds.
///
/// Invariant: the state never goes to a lower revision; nothing is handed out before the gate is open.
pub struct RevisionTracker {
    node: NodeId,
    state: ConfigState,
    gate: StartGate,
    recent: RecentHistory,
    published: Revision,
    /// In force before `published`.
    previous: Revision,
}

impl RevisionTracker {
    /// An empty book; `peers` are asked before the node may take work while the store is down.
    pub fn new(node: NodeId, peers: &[NodeId], origin: ConfigOrigin) -> Self {
        let mut gate = StartGate::new();
        for peer in peers {
            gate.await_peer(*peer);
        }
        let state = match origin {
            ConfigOrigin::Submitted => ConfigState::new(),
            ConfigOrigin::External => ConfigState::with_external_history(),
        };
        let recent = RecentHistory::new(RECENT_REVISIONS);
        let (published, previous) = (Revision::ZERO, Revision::ZERO);
        Self { node, state, gate, recent, published, previous }
    }

    /// Revision held, which may not be in force yet.
    pub fn held(&self) -> Revision {
        self.state.revision()
    }

    /// Chain digest of the revision held.
    pub fn held_chain(&self) -> Option<ChainDigest> {
        self.state.record().map(|record| record.chain)
    }

    /// Takes in what a peer sent; an empty answer says that it holds nothing newer.
    ///
    /// # Errors
    ///
    /// [`DeltaFault`] if the delta does not fit; nothing is changed then.
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

    /// A peer did not answer.
    pub fn stop_awaiting_peer(&mut self, peer: NodeId) {
        self.gate.stop_awaiting(peer);
    }

    /// Takes in what the table service holds, `None` if it holds none or the one held here.
    ///
    /// # Errors
    ///
    /// [`DeltaFault`] if the document does not match its record; nothing is changed then.
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

    /// The configuration to put in force now, if there is a newer one and the node may use it.
    pub fn take_newer_config(&mut self) -> Option<Arc<ConfigInForce>> {
        let held = self.held();
        if held <= self.published || !self.gate.try_open(held) {
            return None;
        }
        self.previous = std::mem::replace(&mut self.published, held);
        Some(Arc::new(ConfigInForce::new(self.state.clone(), route_seed(self.node))))
    }

    /// The event that tells of the revision last handed out, which came from the peer `from` or else from the store, and
    /// waited here for `waited`.
    pub fn in_force_event(&self, from: Option<NodeId>, waited: Duration) -> EventKind {
        let previous = (self.previous > Revision::ZERO).then_some(self.previous.0);
        let waited_ms = u64::try_from(waited.as_millis()).unwrap_or(u64::MAX);
        EventKind::RevisionInForce { revision: self.published.0, previous, from, waited_ms }
    }

    /// The recent history as this node saw it.
    pub fn recent(&self) -> Vec<HistoryRecord> {
        self.recent.after(Revision::ZERO).cloned().collect()
    }
}

/// Where this node begins with the parts of weighted routes.
fn route_seed(node: NodeId) -> u64 {
    twox_hash::XxHash64::oneshot(0, node.to_string().as_bytes())
}
