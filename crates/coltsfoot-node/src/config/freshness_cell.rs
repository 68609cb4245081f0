//! Shared cell with the latest proof that the configuration in force is the newest revision.

use std::{
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};

use coltsfootroute::{
    freshness::{ConfigFreshness, RevisionProof, StoreTime},
    revision::Revision,
    time::MonotonicTime,
};

/// Maximum age of a proof as a fraction (numerator, denominator) of the time bound for revoking a key. The rest allows
/// for clock error and for the delay of an answer inside the store before the store reads the time for it.
const PROOF_AGE_SHARE: (u32, u32) = (4, 5);

/// Returns the maximum age of a proof if keys must be revoked within `bound`.
pub fn max_proof_age(bound: Duration) -> Duration {
    bound * PROOF_AGE_SHARE.0 / PROOF_AGE_SHARE.1
}

/// Latest proof that the configuration in force is the newest revision, shared by all threads. Its lock is held only
/// for a few instructions at a time.
#[derive(Clone, Default)]
pub struct FreshnessCell {
    freshness: Arc<Mutex<ConfigFreshness>>,
}

impl FreshnessCell {
    /// Records the store's proof from the answer to a request sent at `requested_at`.
    pub fn record_store_proof(&self, requested_at: MonotonicTime, proof: RevisionProof) {
        self.lock().record_store_proof(requested_at, proof);
    }

    /// Records that a read of the store, begun by this node at `requested_at`, found `revision` to be the newest.
    pub fn record_local_read(&self, requested_at: MonotonicTime, revision: Revision) {
        self.lock().record_local_read(requested_at, revision);
    }

    /// Records a proof received from another node.
    pub fn record_proof(&self, proof: RevisionProof) {
        self.lock().record_proof(proof);
    }

    /// Returns how long ago the configuration in force was last proved to be the newest; `None` without any proof. Call
    /// this before reading the configuration: one put in force in between is newer than the proof.
    pub fn age(&self, now: MonotonicTime) -> Option<Duration> {
        self.lock().age(now)
    }

    /// Returns the store's time of the latest proof, for nodes that hold `revision` or a later one; `None` if the proof
    /// is for a newer revision, or there is none.
    pub fn proof_time_for(&self, revision: Revision) -> Option<StoreTime> {
        self.lock().proof_time_for(revision)
    }

    /// Sets the number of nodes known to this one.
    pub fn set_node_count(&self, nodes: usize) {
        self.lock().set_node_count(nodes);
    }

    /// Returns the number of nodes known to this one.
    pub fn node_count(&self) -> usize {
        self.lock().node_count()
    }

    /// Returns the revision in force.
    pub fn revision(&self) -> Revision {
        self.lock().revision()
    }

    /// Sets the revision in force.
    pub(super) fn set_revision(&self, revision: Revision) {
        self.lock().set_revision(revision);
    }

    fn lock(&self) -> MutexGuard<'_, ConfigFreshness> {
        // A poisoned lock is safe to use: each change leaves the value consistent.
        self.freshness.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }
}
