//! Newest proof that the configuration in force is the newest.

use std::time::Duration;

use super::{RevisionProof, StoreClock, StoreTime};
use crate::{revision::Revision, time::MonotonicTime};

/// Newest proof that the configuration in force is the newest.
///
/// Invariant: the revision of `proof` is at most `revision_in_force`, so that it applies to the configuration in force.
#[derive(Clone, Debug, Default)]
pub struct ConfigFreshness {
    clock: StoreClock,
    revision_in_force: Revision,
    proof: Option<RevisionProof>,
    /// Newest proof for a revision that is not in force yet.
    pending_proof: Option<RevisionProof>,
    /// Number of nodes known to this one, with which it exchanges proofs.
    known_nodes: usize,
    /// Time at which this node sent a request to a store without a clock, and the newest revision in the answer.
    local_read: Option<(MonotonicTime, Revision)>,
}

impl ConfigFreshness {
    /// Records the proof in the store's answer to a request sent at `asked`.
    pub fn record_store_proof(&mut self, asked: MonotonicTime, proof: RevisionProof) {
        self.clock.record(asked, proof.at);
        self.record_proof(proof);
    }

    /// Records that `revision` was the newest according to the answer to a request sent at `asked`. It proves nothing
    /// to other nodes, whose clocks differ.
    pub fn record_local_read(&mut self, asked: MonotonicTime, revision: Revision) {
        if self.local_read.is_none_or(|(known, _)| known < asked) {
            self.local_read = Some((asked, revision));
        }
    }

    /// Records a proof, whichever node sent it and however long it was delayed.
    pub fn record_proof(&mut self, proof: RevisionProof) {
        let is_in_force = proof.revision <= self.revision_in_force;
        let known = if is_in_force { &mut self.proof } else { &mut self.pending_proof };
        if known.is_none_or(|known| known.at < proof.at) {
            *known = Some(proof);
        }
    }

    /// Sets the number of known nodes.
    pub fn set_node_count(&mut self, nodes: usize) {
        self.known_nodes = nodes;
    }

    /// Returns the number of known nodes.
    pub fn node_count(&self) -> usize {
        self.known_nodes
    }

    /// Returns the revision in force.
    pub fn revision(&self) -> Revision {
        self.revision_in_force
    }

    /// Sets the revision in force, unless it is older than the current one.
    pub fn set_revision(&mut self, revision: Revision) {
        self.revision_in_force = self.revision_in_force.max(revision);
        if let Some(proof) = self.pending_proof.take() {
            self.record_proof(proof);
        }
    }

    /// Returns how long ago the configuration in force may last have been the newest; `None` without any proof.
    pub fn age(&self, now: MonotonicTime) -> Option<Duration> {
        let own = self.local_read.filter(|(_, revision)| *revision <= self.revision_in_force);
        let told = self.proof.and_then(|proof| self.clock.earliest(proof.at));
        // A time in the future means that the store's clock was set back: the proof is meaningless.
        let told = told.filter(|earliest| *earliest <= now);
        let earliest = told.into_iter().chain(own.map(|(asked, _)| asked)).max()?;
        Some(now.since(earliest))
    }

    /// Returns the store's time of the newest proof, for nodes on `revision` or a later one; `None` if the proof is for
    /// a newer revision, or there is none.
    pub fn proof_time_for(&self, revision: Revision) -> Option<StoreTime> {
        self.proof.filter(|proof| proof.revision <= revision).map(|proof| proof.at)
    }
}
