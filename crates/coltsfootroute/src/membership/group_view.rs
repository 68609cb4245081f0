//! The members of one service, as one node knows them.

use std::{cmp::Ordering, time::Duration};

use indexmap::{IndexMap, IndexSet};

use super::{MemberRecord, MemberState, MemberUpdate};
use crate::{id::NodeId, time::MonotonicTime};

/// Most buckets that a group's records are spread over for comparison.
pub const MAX_BUCKETS: usize = 256;
/// Records per bucket aimed at: a bucket fits into one datagram.
const RECORDS_PER_BUCKET: usize = 8;

value_type! {
    /// What a merge did.
    pub enum MergeOutcome {
        /// The statement stands now; before it the member was in this state, or unknown.
        Changed(Option<MemberState>),
        /// It was known.
        Same,
        /// What is known is newer.
        Stale,
        /// There is no room for another member.
        Full,
    }
}

/// A record with what is derived from it.
#[derive(Clone, Debug)]
struct MemberEntry {
    record: MemberRecord,
    hash: u64,
    /// Bucket among [`MAX_BUCKETS`].
    bucket: u8,
    /// Of a member that is not present: when it is forgotten, by the age that came with the statement.
    expires: MonotonicTime,
    /// Nobody of the group answers this node: kept only to judge later statements by.
    hidden: bool,
}

impl MemberEntry {
    fn is_present(&self) -> bool {
        self.record.state.is_live() && !self.hidden
    }
}

/// Members of one service by node, with digests kept up incrementally.
///
/// The digests cover live members only: tombstones are forgotten at different times in different
/// places and must not make views differ. About 200 bytes a record, and 2 KB for the buckets.
#[derive(Clone, Debug)]
pub struct GroupView {
    members: IndexMap<NodeId, MemberEntry>,
    /// Invariant: the XOR of the hashes of the live records of each bucket.
    buckets: Box<[u64; MAX_BUCKETS]>,
    /// Invariant: the XOR of `buckets`.
    digest: u64,
    /// Invariant: the number of live records.
    live: usize,
    version: u64,
    max_members: usize,
    /// How long a dead or departed member is remembered.
    retention: Duration,
}

impl GroupView {
    /// An empty group of at most `max_members` records, that remembers dead and departed ones for
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

    /// Takes in a statement if it is newer in the merge order. A `authoritative` one, which comes from the
    /// member itself or from its group, also shows a hidden member again.
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

    /// Hides a live member: neither shown nor passed on, but remembered.
    pub fn hide(&mut self, now: MonotonicTime, node: NodeId) {
        if let Some(record) = self.get(node).cloned() {
            self.insert_entry(record, now + self.retention, true);
        }
    }

    /// Shows the hidden members again: for a node that probes them itself from now on.
    pub fn unhide_all(&mut self, now: MonotonicTime) {
        let hidden = self.members.values().filter(|entry| entry.hidden);
        for record in hidden.map(|entry| entry.record.clone()).collect::<Vec<_>>() {
            self.insert_entry(record, now + self.retention, false);
        }
    }

    /// Members that may be back: hidden or dead.
    pub fn recovery_candidates(&self) -> impl Iterator<Item = NodeId> {
        let lost = self
            .members
            .values()
            .filter(|entry| entry.hidden || entry.record.state == MemberState::Dead);
        lost.map(|entry| entry.record.node)
    }

    /// Forgets absent members past their retention, and the oldest beyond `limit`.
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

    /// One record, live or not.
    pub fn get(&self, node: NodeId) -> Option<&MemberRecord> {
        self.members.get(&node).map(|entry| &entry.record)
    }

    /// The statement to pass on about `node`.
    pub fn update(&self, now: MonotonicTime, node: NodeId) -> Option<MemberUpdate> {
        self.members.get(&node).map(|entry| self.entry_update(now, entry))
    }

    /// All records but the hidden ones, tombstones included.
    pub fn records(&self) -> impl Iterator<Item = &MemberRecord> {
        self.members.values().filter(|entry| !entry.hidden).map(|entry| &entry.record)
    }

    /// Live records: alive or suspected.
    pub fn live(&self) -> impl Iterator<Item = &MemberRecord> {
        self.records().filter(|record| record.state.is_live())
    }

    /// Number of live records.
    pub fn live_count(&self) -> usize {
        self.live
    }

    /// Rises with each change of a record.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// XOR of the hashes of the live records.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// Number of buckets that suits the size of the group: a power of two.
    pub fn bucket_count(&self) -> usize {
        let buckets = self.live.div_ceil(RECORDS_PER_BUCKET).next_power_of_two();
        buckets.min(MAX_BUCKETS)
    }

    /// Digests of `count` buckets, a power of two up to [`MAX_BUCKETS`], cut to 32 bits.
    pub fn bucket_digests(&self, count: usize) -> Vec<u32> {
        let mut digests = vec![0_u64; count];
        for (bucket, digest) in self.buckets.iter().enumerate() {
            digests[bucket % count] ^= digest;
        }
        digests.into_iter().map(|digest| digest as u32).collect()
    }

    /// Statements about all members of some buckets out of `count`, by bucket.
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

    /// Adds a live record's hash to the digests, or takes it out again.
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
