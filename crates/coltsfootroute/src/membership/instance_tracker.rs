//! Tracking of the upstream instances beside a node, with late and reordered heartbeats.

use indexmap::{IndexMap, IndexSet};

use super::{InstanceIncarnation, resume_window::MAX_HEARTBEAT_DELAY};
use crate::time::MonotonicTime;

/// Maximum number of incarnations that are remembered as having left, and as having been replaced; the oldest are
/// forgotten first.
const MAX_DEPARTED: usize = 64;

value_type! {
    /// Classification of a heartbeat.
    pub enum HeartbeatVerdict {
        /// The newest heartbeat of the current incarnation.
        Fresh,
        /// A heartbeat no newer than one received earlier from the same incarnation.
        Stale,
        /// A heartbeat of an incarnation that has left or was replaced, or that seems to have started before the current
        /// one.
        Departed,
    }
}

/// Tracks which upstream incarnation of a host is current, from the heartbeats that arrive.
///
/// An incarnation is identified by its name and start time together. Start times come from a clock that may be set
/// either way, so their order is a hint at most: it only decides whether a heartbeat may be a late one of an incarnation
/// that ended unheard of, and only until the current one has crashed or fallen silent.
///
/// Invariants: an incarnation that has left never returns; one that was replaced returns only once its successor has
/// been silent for longer than a heartbeat can be late; the sequence number of the current incarnation rises.
#[derive(Clone, Debug, Default)]
pub struct InstanceTracker {
    current: Option<CurrentInstance>,
    /// Incarnations that have left, with the time of the leave, in the order in which they ended.
    left: IndexMap<InstanceIncarnation, MonotonicTime>,
    /// Incarnations that were replaced without having left, until their successor falls silent.
    replaced: IndexSet<InstanceIncarnation>,
}

#[derive(Clone, Debug)]
struct CurrentInstance {
    incarnation: InstanceIncarnation,
    sequence: u64,
    /// Whether it has crashed or its heartbeats have stopped. An incarnation that seems to have started before it may
    /// then replace it, because a clock that was set back makes a new incarnation look old.
    has_ended: bool,
}

impl InstanceTracker {
    /// Creates a tracker that has received no heartbeat.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the current incarnation, or `None` if there is none.
    pub fn current(&self) -> Option<&InstanceIncarnation> {
        self.current.as_ref().map(|current| &current.incarnation)
    }

    /// Returns whether no incarnation has become current, or has left, after this one.
    pub fn is_latest(&self, incarnation: &InstanceIncarnation) -> bool {
        let last_left = self.left.last().map(|(left, _)| left);
        self.current().or(last_left) == Some(incarnation)
    }

    /// Classifies a heartbeat that arrives at `now`. A new incarnation replaces the current one, unless it seems to have
    /// started before it and the current one still runs.
    pub fn note_heartbeat(
        &mut self,
        incarnation: &InstanceIncarnation,
        sequence: u64,
        now: MonotonicTime,
    ) -> HeartbeatVerdict {
        self.identify_leaver(incarnation, |left| now.since(left) <= MAX_HEARTBEAT_DELAY);
        if self.left.contains_key(incarnation) || self.replaced.contains(incarnation) {
            return HeartbeatVerdict::Departed;
        }
        match &mut self.current {
            Some(current) if current.incarnation == *incarnation => {
                if sequence <= current.sequence {
                    return HeartbeatVerdict::Stale;
                }
                current.sequence = sequence;
                current.has_ended = false;
            }
            Some(current) if !current.has_ended && incarnation.is_before(&current.incarnation) => {
                return HeartbeatVerdict::Departed;
            }
            _ => self.replace_current(incarnation, sequence),
        }
        HeartbeatVerdict::Fresh
    }

    fn replace_current(&mut self, incarnation: &InstanceIncarnation, sequence: u64) {
        let current =
            CurrentInstance { incarnation: incarnation.clone(), sequence, has_ended: false };
        if let Some(previous) = self.current.replace(current) {
            self.replaced.insert(previous.incarnation);
            if self.replaced.len() > MAX_DEPARTED {
                self.replaced.shift_remove_index(0);
            }
        }
    }

    /// Notes that the heartbeats of the current incarnation have stopped for longer than a heartbeat can be late. What
    /// arrives of the incarnations that it replaced was sent since, so they were replaced by mistake.
    pub fn note_silence(&mut self) {
        if let Some(current) = &mut self.current {
            current.has_ended = true;
            self.replaced.clear();
        }
    }

    /// Notes that an incarnation has crashed.
    pub fn note_crash(&mut self, incarnation: &InstanceIncarnation) {
        match &mut self.current {
            Some(current) if current.incarnation == *incarnation => current.has_ended = true,
            _ => {}
        }
    }

    /// Restores the incarnation that was current before this node restarted. Returns whether it did: only while no
    /// incarnation is current, and only if this one has not left since the restart.
    pub fn restore(&mut self, incarnation: &InstanceIncarnation) -> bool {
        // It was current before any leave that this node knows of, however long the restoration takes.
        self.identify_leaver(incarnation, |_| true);
        if self.current.is_some() || self.left.contains_key(incarnation) {
            return false;
        }
        self.replace_current(incarnation, 0);
        true
    }

    /// Returns the incarnation that a leave is of. One without a start time is of the current incarnation if that has its
    /// name, else of the last known one of that name; if there is none, the result has no start time either.
    pub fn identify(&self, leave: &InstanceIncarnation) -> InstanceIncarnation {
        if leave.started.is_some() {
            return leave.clone();
        }
        let departed = self.left.keys().rev().chain(self.replaced.iter().rev());
        let mut known = self.current().into_iter().chain(departed);
        known.find(|known| known.name == leave.name).unwrap_or(leave).clone()
    }

    /// Records a leave that arrives at `now`. Returns whether it is of the current incarnation.
    pub fn leave(&mut self, leave: &InstanceIncarnation, now: MonotonicTime) -> bool {
        let incarnation = self.identify(leave);
        let left = self.current.take_if(|current| current.incarnation == incarnation);
        self.record_left(incarnation, now);
        left.is_some()
    }

    /// If the incarnation may be the one that left without a start time, at a time that `is_recent` accepts, records it
    /// as having left.
    fn identify_leaver(
        &mut self,
        incarnation: &InstanceIncarnation,
        is_recent: impl FnOnce(MonotonicTime) -> bool,
    ) {
        let unknown = InstanceIncarnation::new(incarnation.name.clone());
        let Some(left) = self.left.get(&unknown).copied() else { return };
        if is_recent(left) {
            self.record_left(incarnation.clone(), left);
        }
    }

    fn record_left(&mut self, incarnation: InstanceIncarnation, now: MonotonicTime) {
        if self.replaced.shift_remove(&incarnation) {
            // It ended before its successor did, however late its leave arrives.
            self.left.shift_insert(0, incarnation, now);
        } else {
            self.left.entry(incarnation).or_insert(now);
        }
        if self.left.len() > MAX_DEPARTED {
            self.left.shift_remove_index(0);
        }
    }
}
