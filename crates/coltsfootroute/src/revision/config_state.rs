//! The configuration that a node has in force.

use super::{
    ApplyOutcome, ChainDigest, ConfigDelta, ConfigEntry, ContentDigest, DeltaFault, EntryChange,
    Revision, RevisionRecord, changed_names::changed_names,
};
use crate::{
    name::ServiceName,
    schema::{SchemaDocument, ServiceEntry, TeamEntry},
};
use indexmap::IndexMap;
use std::sync::Arc;

/// Maximum number of removed services that a state keeps as tombstones. A delta from a revision before the newest
/// discarded tombstone becomes a full snapshot.
pub const MAX_TOMBSTONES: usize = 1_024;

/// Configuration that one node has in force. Its revision never decreases: an input that arrives late, twice or out
/// of order either changes nothing or is rejected as a whole. Cheap to clone.
#[derive(Clone, Debug, Default)]
pub struct ConfigState {
    /// Record of the revision in force; `None` before the first revision.
    record: Option<RevisionRecord>,
    deployment: String,
    /// Services, sorted by name.
    entries: IndexMap<ServiceName, ConfigEntry>,
    /// Teams, sorted by name.
    teams: Arc<Vec<TeamEntry>>,
    /// Upper bound of the last revision that changed a team.
    teams_revision: Revision,
    /// Services removed after revision `floor`, with the revision that removed each, oldest first.
    tombstones: IndexMap<ServiceName, Revision>,
    /// Lowest revision after which every change is known. A delta from a lower revision is a full snapshot.
    floor: Revision,
    /// Whether the history is kept by another system, whose records don't name their parents.
    has_external_history: bool,
}

/// Contents of the state that a document or delta would produce, not yet checked against the record's digest.
struct Candidate {
    deployment: String,
    entries: IndexMap<ServiceName, ConfigEntry>,
    teams: Arc<Vec<TeamEntry>>,
    teams_revision: Revision,
    tombstones: IndexMap<ServiceName, Revision>,
    floor: Revision,
}

impl ConfigState {
    /// Creates a state without a configuration, at revision 0.
    pub fn new() -> Self {
        Self::default()
    }

    /// Creates a state without a configuration, whose revisions come from another system. That system is responsible
    /// for the integrity of their history.
    pub fn with_external_history() -> Self {
        Self { has_external_history: true, ..Self::default() }
    }

    /// Returns the revision in force; 0 if there is none.
    pub fn revision(&self) -> Revision {
        self.record.as_ref().map_or(Revision::ZERO, |record| record.revision)
    }

    /// Returns the record of the revision in force; `None` before the first revision.
    pub fn record(&self) -> Option<&RevisionRecord> {
        self.record.as_ref()
    }

    /// Returns the name of the deployment; empty at revision 0.
    pub fn deployment(&self) -> &str {
        &self.deployment
    }

    /// Returns the service called `name`; `None` if the configuration has none.
    pub fn service(&self, name: &ServiceName) -> Option<&ServiceEntry> {
        self.entries.get(name).map(|entry| &*entry.service)
    }

    /// Returns all services, sorted by name.
    pub fn entries(&self) -> impl Iterator<Item = &ConfigEntry> {
        self.entries.values()
    }

    /// Returns the teams, sorted by name.
    pub fn teams(&self) -> &[TeamEntry] {
        &self.teams
    }

    /// Returns the whole configuration as a document, with services and teams sorted by name.
    pub fn document(&self) -> SchemaDocument {
        let services = self.entries().map(|entry| (*entry.service).clone()).collect();
        let teams = (*self.teams).clone();
        SchemaDocument { deployment: self.deployment.clone(), services, teams }
    }

    /// Puts a whole document, as read from the table service, in force.
    ///
    /// # Errors
    ///
    /// Returns a [`DeltaFault`] if the record doesn't match the document, isn't intact or belongs to another history.
    pub fn apply_document(
        &mut self,
        record: &RevisionRecord,
        document: &SchemaDocument,
    ) -> Result<ApplyOutcome, DeltaFault> {
        if !self.is_superseded_by(record)? {
            return Ok(ApplyOutcome::AlreadyHeld);
        }
        let candidate = self.candidate_from_document(record.revision, document);
        self.install(candidate, record)
    }

    /// Returns the changes after revision `from`: a full snapshot if `from` is 0 or the changes since
    /// `from` are no longer known, `None` if the state holds nothing newer.
    pub fn delta_since(&self, from: Revision) -> Option<ConfigDelta> {
        let record = self.record.clone().filter(|record| record.revision > from)?;
        let from = if from < self.floor { Revision::ZERO } else { from };
        let entries = self.entries.values().filter(|entry| entry.revision > from);
        let kept = entries.map(|entry| EntryChange {
            name: entry.service.name.clone(),
            revision: entry.revision,
            service: Some((*entry.service).clone()),
        });
        let tombstones = self.tombstones.iter().filter(|(_, revision)| **revision > from);
        let removed = tombstones.map(|(name, revision)| EntryChange {
            name: name.clone(),
            revision: *revision,
            service: None,
        });
        let mut changes: Vec<_> = kept.chain(removed).collect();
        changes.sort_by(|left, right| left.name.cmp(&right.name));
        let teams = (self.teams_revision > from).then(|| (*self.teams).clone());
        Some(ConfigDelta { from, record, deployment: self.deployment.clone(), changes, teams })
    }

    /// Applies a delta from a peer atomically.
    ///
    /// # Errors
    ///
    /// Returns a [`DeltaFault`] if the delta starts after the revision held, if its record isn't intact or belongs to
    /// another history, or if the resulting content doesn't match the record.
    pub fn apply_delta(&mut self, delta: &ConfigDelta) -> Result<ApplyOutcome, DeltaFault> {
        if !self.is_superseded_by(&delta.record)? {
            return Ok(ApplyOutcome::AlreadyHeld);
        }
        let held = self.revision();
        if delta.from > held {
            return Err(DeltaFault::Gap { from: delta.from, held });
        }
        let candidate = self.candidate_from_delta(delta);
        self.install(candidate, &delta.record)
    }

    /// Returns whether the revision in force is lower than that of `record`.
    ///
    /// # Errors
    ///
    /// Returns a [`DeltaFault`] if `record` isn't intact or belongs to another history.
    fn is_superseded_by(&self, record: &RevisionRecord) -> Result<bool, DeltaFault> {
        let (held, offered) = (self.revision(), record.revision);
        let chain = self.record.as_ref().map_or(ChainDigest::ROOT, |record| record.chain);
        if !record.is_intact() {
            return Err(DeltaFault::Record(offered));
        }
        let is_other_chain = offered == held && record.chain != chain;
        let is_next = offered == held.next() && !self.has_external_history;
        let has_other_parent = is_next && record.parent != chain;
        if is_other_chain || has_other_parent {
            return Err(DeltaFault::Diverged(offered));
        }
        Ok(held < offered)
    }

    fn candidate_from_document(&self, revision: Revision, document: &SchemaDocument) -> Candidate {
        let entries = document.services.iter().map(|service| {
            let entry = ConfigEntry::new(revision, service.clone());
            let held = self.entries.get(&service.name);
            let unchanged = held.filter(|held| held.digest == entry.digest).cloned();
            (service.name.clone(), unchanged.unwrap_or(entry))
        });
        let entries: IndexMap<_, _> = entries.collect();
        let deployment = document.deployment.clone();
        let (teams, teams_revision) = self.updated_teams(revision, document.teams.clone());
        if revision != self.revision().next() {
            // A skipped revision may have changed a service and a later one changed it back. Comparing the two
            // documents doesn't show that, so the changes before `revision` are unknown.
            let tombstones = IndexMap::new();
            let floor = revision;
            return Candidate { deployment, entries, teams, teams_revision, tombstones, floor };
        }
        let mut tombstones = self.tombstones.clone();
        tombstones.extend(self.entries.keys().map(|name| (name.clone(), revision)));
        tombstones.retain(|name, _| !entries.contains_key(name));
        let floor = self.floor;
        Candidate { deployment, entries, teams, teams_revision, tombstones, floor }
    }

    /// Returns the teams at `revision`, sorted by name, and the revision that last changed them.
    fn updated_teams(
        &self,
        revision: Revision,
        mut teams: Vec<TeamEntry>,
    ) -> (Arc<Vec<TeamEntry>>, Revision) {
        teams.sort_by(|left, right| left.name.cmp(&right.name));
        if teams == *self.teams {
            return (self.teams.clone(), self.teams_revision);
        }
        (Arc::new(teams), revision)
    }

    fn candidate_from_delta(&self, delta: &ConfigDelta) -> Candidate {
        let mut candidate = self.delta_base(delta);
        if let Some(teams) = &delta.teams {
            let updated = self.updated_teams(delta.to(), teams.clone());
            (candidate.teams, candidate.teams_revision) = updated;
        }
        for change in &delta.changes {
            let name = change.name.clone();
            candidate.entries.shift_remove(&name);
            candidate.tombstones.shift_remove(&name);
            match &change.service {
                Some(service) => {
                    candidate
                        .entries
                        .insert(name, ConfigEntry::new(change.revision, service.clone()));
                }
                None => {
                    candidate.tombstones.insert(name, change.revision);
                }
            }
        }
        candidate
    }

    /// Returns the base to which the changes of a delta are applied: an empty one for a snapshot, else the state.
    fn delta_base(&self, delta: &ConfigDelta) -> Candidate {
        let deployment = delta.deployment.clone();
        if delta.is_snapshot() {
            // A snapshot doesn't contain the revisions of earlier changes.
            let (entries, tombstones) = (IndexMap::new(), IndexMap::new());
            let (teams, teams_revision) = self.updated_teams(delta.to(), Vec::new());
            let floor = delta.to();
            return Candidate { deployment, entries, teams, teams_revision, tombstones, floor };
        }
        let (entries, tombstones) = (self.entries.clone(), self.tombstones.clone());
        let (teams, teams_revision) = (self.teams.clone(), self.teams_revision);
        let floor = self.floor;
        Candidate { deployment, entries, teams, teams_revision, tombstones, floor }
    }

    /// Puts `candidate` in force if its content matches `record`.
    ///
    /// # Errors
    ///
    /// Returns [`DeltaFault::Content`] if it doesn't.
    fn install(
        &mut self,
        mut candidate: Candidate,
        record: &RevisionRecord,
    ) -> Result<ApplyOutcome, DeltaFault> {
        candidate.entries.sort_unstable_keys();
        if candidate.digest() != record.content {
            return Err(DeltaFault::Content(record.revision));
        }
        candidate.prune_tombstones();
        let changed = changed_names(&self.entries, &candidate.entries, |entry| entry.digest);
        *self = Self {
            record: Some(record.clone()),
            deployment: candidate.deployment,
            entries: candidate.entries,
            teams: candidate.teams,
            teams_revision: candidate.teams_revision,
            tombstones: candidate.tombstones,
            floor: candidate.floor,
            has_external_history: self.has_external_history,
        };
        Ok(ApplyOutcome::Advanced { revision: record.revision, changed })
    }
}

impl Candidate {
    fn digest(&self) -> ContentDigest {
        let digests: Vec<_> =
            self.entries.iter().map(|(name, entry)| (name, entry.digest)).collect();
        ContentDigest::of_parts(&self.deployment, &digests, &self.teams)
    }

    /// Drops the oldest tombstones beyond [`MAX_TOMBSTONES`], raises `floor` accordingly, and drops the tombstones that
    /// no delta can need.
    fn prune_tombstones(&mut self) {
        self.tombstones.sort_by(|_, left, _, right| left.cmp(right));
        while self.tombstones.len() > MAX_TOMBSTONES {
            if let Some((_, revision)) = self.tombstones.shift_remove_index(0) {
                self.floor = self.floor.max(revision);
            }
        }
        let floor = self.floor;
        self.tombstones.retain(|_, revision| *revision > floor);
    }
}
