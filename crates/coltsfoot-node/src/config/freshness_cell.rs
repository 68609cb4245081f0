//! The newest proof that the configuration in force is the newest, for all threads.

use std::{
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};

use coltsfootroute::{
    freshness::{ConfigFreshness, RevisionProof, StoreTime},
    revision::Revision,
    time::MonotonicTime,
};

/// Part of the time to revoke a key that a proof may be old. The rest is for clocks and for what the store's answer was held
/// up in the store itself, before the time in it was read.
const PROOF_AGE_SHARE: (u32, u32) = (4, 5);

/// Age beyond which a proof is too old where keys are to be revoked within `bound`.
pub fn max_proof_age(bound: Duration) -> Duration {
    bound * PROOF_AGE_SHARE.0 / PROOF_AGE_SHARE.1
}

/// The newest proof that the configuration in force is the newest, for all threads. Held for some instructions at a time.
#[derive(Clone, Default)]
pub struct FreshnessCell {
    freshness: Arc<Mutex<ConfigFreshness>>,
}

impl FreshnessCell {
    /// Takes in what the store answered to a question asked at `requested_at`.
    pub fn record_store_proof(&self, requested_at: MonotonicTime, proof: RevisionProof) {
        self.lock().record_store_proof(requested_at, proof);
    }

    /// Takes in that this node has itself found `revision` to be the newest after `requested_at`.
    pub fn record_local_read(&self, requested_at: MonotonicTime, revision: Revision) {
        self.lock().record_local_read(requested_at, revision);
    }

    /// Takes in a proof of another node.
    pub fn record_proof(&self, proof: RevisionProof) {
        self.lock().record_proof(proof);
    }

    /// How long ago the configuration in force may last have been the newest; `None` without any proof. Ask before the
    /// configuration is read: one that is put in force in between is newer than what is proved.
    pub fn age(&self, now: MonotonicTime) -> Option<Duration> {
        self.lock().age(now)
    }

    /// The store's time of the newest proof, for others that hold `revision` or a later one.
    pub fn proof_time_for(&self, revision: Revision) -> Option<StoreTime> {
        self.lock().proof_time_for(revision)
    }

    /// So many nodes are known.
    pub fn set_node_count(&self, nodes: usize) {
        self.lock().set_node_count(nodes);
    }

    /// Nodes that this one knows of.
    pub fn node_count(&self) -> usize {
        self.lock().node_count()
    }

    /// The revision in force.
    pub fn revision(&self) -> Revision {
        self.lock().revision()
    }

    /// A revision is in force from now on.
    pub(super) fn set_revision(&self, revision: Revision) {
        self.lock().set_revision(revision);
    }

    fn lock(&self) -> MutexGuard<'_, ConfigFreshness> {
        // Each change leaves it whole.
        self.freshness.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }
}
