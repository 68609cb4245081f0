//! Members of one service as known to one node.

use std::{cmp::Ordering, time::Duration};

use indexmap::{IndexMap, IndexSet};

use super::{MemberRecord, MemberState, MemberUpdate};
use crate::{id::NodeId, time::MonotonicTime};

/// Maximum number of buckets among which a group's records are divided for comparison.
pub const MAX_BUCKETS: usize = 256;
/// Target number of records per bucket, so that a bucket fits into one datagram.
const RECORDS_PER_BUCKET: usize = 8;

value_type! {
    /// Outcome of a merge.
    pub enum MergeOutcome {
        /// The update was applied. Holds the previous state of the member, or `None` if it was unknown or hidden.
        Changed(Option<MemberState>),
        /// The record was already known.
        Same,
        /// The known record is newer.
        Stale,
        /// There is no room for another member.
        Full,
    }
}

/// A record with the values derived from it.
#[derive(Clone, Debug)]
struct MemberEntry {
    record: MemberRecord,
    hash: u64,
    /// Bucket among [`MAX_BUCKETS`].
    bucket: u8,
    /// Time at which a member that is not present is forgotten; depends on the age of the update.
    expires: MonotonicTime,
    /// Whether the member is hidden because nobody in its group answers this node. The record is kept only for the
    /// comparison with later updates.
    hidden: bool,
}

impl MemberEntry {
    fn is_present(&self) -> bool {
        self.record.state.is_live() && !self.hidden
    }
}

/// Members of one service by node, with digests that are updated incrementally.
///
/// The digests cover live members only, because nodes forget tombstones at different times and their views must not
/// differ for that. Takes about 200 bytes per record, and 2 KB for the buckets.
#[derive(Clone, Debug)]
pub struct GroupView {
    members: IndexMap<NodeId, MemberEntry>,
    /// Invariant: the XOR of the hashes of the live records of each bucket, without hidden ones.
    buckets: Box<[u64; MAX_BUCKETS]>,
    /// Invariant: the XOR of `buckets`.
    digest: u64,
    /// Invariant: the number of live records, without hidden ones.
    live: usize,
    version: u64,
    max_members: usize,
    /// Time for which a dead or departed member is remembered.
    retention: Duration,
}

impl GroupView {
    /// Creates an empty group of at most `max_members` records that remembers dead and departed members for
    /// `retention`.
    pub fn new(max_members: usize, retention: Duration) -> Self {
        Self {
            members: IndexMap::new(),
            buckets: Box::new([0; MAX_BUCKETS]),
            digest: 0,
            live: 0,
            version: 0,
            max_members,
            retention,
        }
    }

    /// Applies an update if it is newer in the merge order. An `authoritative` update, which comes from the member
    /// itself or from its group, also shows a hidden member again if it is equal.
    pub fn merge(
        &mut self,
        now: MonotonicTime,
        update: MemberUpdate,
        authoritative: bool,
    ) -> MergeOutcome {
        let record = update.record;
        let before = match self.members.get(&record.node) {
            Some(known) => match record.merge_order(&known.record) {
                Ordering::Less => return MergeOutcome::Stale,
                Ordering::Equal if !(known.hidden && authoritative) => return MergeOutcome::Same,
                _ if known.hidden => None,
                _ => Some(known.record.state),
            },
            None if self.members.len() >= self.max_members => return MergeOutcome::Full,
            None => None,
        };
        self.insert_entry(record, now + self.retention.saturating_sub(update.age), false);
        MergeOutcome::Changed(before)
    }

    /// Hides a live member: its record is kept, but neither shown nor passed on.
    pub fn hide(&mut self, now: MonotonicTime, node: NodeId) {
        if let Some(record) = self.get(node).cloned() {
            self.insert_entry(record, now + self.retention, true);
        }
    }

    /// Shows the hidden members again; for a node that starts to probe them itself.
    pub fn unhide_all(&mut self, now: MonotonicTime) {
        let hidden = self.members.values().filter(|entry| entry.hidden);
        for record in hidden.map(|entry| entry.record.clone()).collect::<Vec<_>>() {
            self.insert_entry(record, now + self.retention, false);
        }
    }

    /// Returns the members that may have come back: those hidden or dead.
    pub fn recovery_candidates(&self) -> impl Iterator<Item = NodeId> {
        let lost = self
            .members
            .values()
            .filter(|entry| entry.hidden || entry.record.state == MemberState::Dead);
        lost.map(|entry| entry.record.node)
    }

    /// Removes members that are not present once their retention has passed, and the oldest of them beyond `limit`.
    pub fn prune(&mut self, now: MonotonicTime, limit: usize) {
        let tombstones = self.tombstones().map(|entry| (entry.expires, entry.record.node));
        let mut tombstones: Vec<_> = tombstones.collect();
        tombstones.sort_unstable();
        let excess = tombstones.len().saturating_sub(limit);
        for (place, (expires, node)) in tombstones.into_iter().enumerate() {
            if place < excess || expires <= now {
                self.members.swap_remove(&node);
            }
        }
    }

    /// Returns the record of a member, live or not, or `None` if the member is unknown.
    pub fn get(&self, node: NodeId) -> Option<&MemberRecord> {
        self.members.get(&node).map(|entry| &entry.record)
    }

    /// Returns the update to pass on about `node`, or `None` if the member is unknown.
    pub fn update(&self, now: MonotonicTime, node: NodeId) -> Option<MemberUpdate> {
        self.members.get(&node).map(|entry| self.entry_update(now, entry))
    }

    /// Returns all records except the hidden ones, tombstones included.
    pub fn records(&self) -> impl Iterator<Item = &MemberRecord> {
        self.members.values().filter(|entry| !entry.hidden).map(|entry| &entry.record)
    }

    /// Returns the live records (alive or suspected), without hidden ones.
    pub fn live(&self) -> impl Iterator<Item = &MemberRecord> {
        self.records().filter(|record| record.state.is_live())
    }

    /// Returns the number of live records, without hidden ones.
    pub fn live_count(&self) -> usize {
        self.live
    }

    /// Returns a number that rises with each change of a record.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the XOR of the hashes of the live records.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// Returns the number of buckets that suits the size of the group, a power of two up to [`MAX_BUCKETS`].
    pub fn bucket_count(&self) -> usize {
        let buckets = self.live.div_ceil(RECORDS_PER_BUCKET).next_power_of_two();
        buckets.min(MAX_BUCKETS)
    }

    /// Returns the digests of `count` buckets, truncated to 32 bits. `count` is a power of two up to [`MAX_BUCKETS`].
    pub fn bucket_digests(&self, count: usize) -> Vec<u32> {
        let mut digests = vec![0_u64; count];
        for (bucket, digest) in self.buckets.iter().enumerate() {
            digests[bucket % count] ^= digest;
        }
        digests.into_iter().map(|digest| digest as u32).collect()
    }

    /// Returns the updates to pass on about all members of the `wanted` buckets out of `count`, by bucket; leaves out
    /// hidden members.
    pub fn bucket_updates(
        &self,
        now: MonotonicTime,
        count: usize,
        wanted: &IndexSet<u16>,
    ) -> IndexMap<u16, Vec<MemberUpdate>> {
        let mut updates: IndexMap<u16, Vec<_>> =
            wanted.iter().map(|bucket| (*bucket, Vec::new())).collect();
        for entry in self.members.values().filter(|entry| !entry.hidden) {
            let bucket = (usize::from(entry.bucket) % count) as u16;
            if let Some(updates) = updates.get_mut(&bucket) {
                updates.push(self.entry_update(now, entry));
            }
        }
        updates
    }

    fn insert_entry(&mut self, record: MemberRecord, expires: MonotonicTime, hidden: bool) {
        let hash = record.content_hash();
        let bucket = record.node_hash() as u8;
        let entry = MemberEntry { record, hash, bucket, expires, hidden };
        if entry.is_present() {
            self.toggle_digests(&entry);
            self.live += 1;
        }
        let before = self.members.insert(entry.record.node, entry);
        if let Some(before) = before.filter(MemberEntry::is_present) {
            self.toggle_digests(&before);
            self.live -= 1;
        }
        self.version += 1;
    }

    /// Adds the hash of a live record to the digests, or removes it.
    fn toggle_digests(&mut self, entry: &MemberEntry) {
        self.buckets[usize::from(entry.bucket)] ^= entry.hash;
        self.digest ^= entry.hash;
    }

    fn tombstones(&self) -> impl Iterator<Item = &MemberEntry> {
        self.members.values().filter(|entry| !entry.is_present())
    }

    fn entry_update(&self, now: MonotonicTime, entry: &MemberEntry) -> MemberUpdate {
        let update = MemberUpdate::new(entry.record.clone());
        if entry.record.state.is_live() {
            return update;
        }
        update.with_age(self.retention.saturating_sub(entry.expires.since(now)))
    }
}
