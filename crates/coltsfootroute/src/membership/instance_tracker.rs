//! What the upstream beside a node has said of itself, over late and reordered heartbeats.

use indexmap::IndexMap;

use super::{InstanceIncarnation, InstanceName, StartTime};

/// Names of departed upstreams remembered at most; the oldest are forgotten first.
const MAX_DEPARTED: usize = 64;

value_type! {
    /// What a heartbeat is worth.
    pub enum HeartbeatVerdict {
        /// It is the newest word of the present upstream.
        Fresh,
        /// A newer heartbeat of the same life was heard before.
        Stale,
        /// Its life has ended, or began before that of the present upstream.
        Departed,
    }
}

/// Orders the heartbeats of the upstreams that one host has had.
///
/// Invariants: a life that has departed never returns; the sequence of the present life rises; while the present life is
/// heard, none that began before it takes its place, however late its heartbeats come.
#[derive(Clone, Debug, Default)]
pub struct InstanceTracker {
    current: Option<CurrentInstance>,
    /// Lives that have departed: those of a name that began until then, and those that do not say when they began.
    departed: IndexMap<InstanceName, Option<StartTime>>,
}

#[derive(Clone, Debug)]
struct CurrentInstance {
    incarnation: InstanceIncarnation,
    sequence: u64,
    /// Whether it has fallen silent. Then any other life may take its place: a time of day that was set back makes a new
    /// life look old.
    is_silent: bool,
}

impl InstanceTracker {
    /// A ledger that has heard nothing.
    pub fn new() -> Self {
        Self::default()
    }

    /// The life that was heard last and has not departed.
    pub fn current(&self) -> Option<&InstanceIncarnation> {
        self.current.as_ref().map(|current| &current.incarnation)
    }

    /// Takes in a heartbeat. A new life takes the place of the present one.
    pub fn note_heartbeat(
        &mut self,
        incarnation: &InstanceIncarnation,
        sequence: u64,
    ) -> HeartbeatVerdict {
        if self.has_departed(incarnation) {
            return HeartbeatVerdict::Departed;
        }
        match &mut self.current {
            Some(current) if current.incarnation == *incarnation => {
                if sequence <= current.sequence {
                    return HeartbeatVerdict::Stale;
                }
                current.sequence = sequence;
                current.is_silent = false;
            }
            Some(current) if !current.is_silent && incarnation.is_before(&current.incarnation) => {
                return HeartbeatVerdict::Departed;
            }
            _ => {
                let current = CurrentInstance {
                    incarnation: incarnation.clone(),
                    sequence,
                    is_silent: false,
                };
                if let Some(previous) = self.current.replace(current) {
                    self.mark_departed(previous.incarnation);
                }
            }
        }
        HeartbeatVerdict::Fresh
    }

    /// The present life has not been heard of for long.
    pub fn note_silence(&mut self) {
        if let Some(current) = &mut self.current {
            current.is_silent = true;
        }
    }

    /// The life was present in an earlier life of the ledger. Returns whether it is taken up again: only before any
    /// heartbeat was heard.
    pub fn restore(&mut self, incarnation: &InstanceIncarnation) -> bool {
        if self.current.is_some() || self.has_departed(incarnation) {
            return false;
        }
        self.current = Some(CurrentInstance {
            incarnation: incarnation.clone(),
            sequence: 0,
            is_silent: false,
        });
        true
    }

    /// The life has left, and those of its name before it. Returns whether the present one is among them.
    pub fn leave(&mut self, incarnation: &InstanceIncarnation) -> bool {
        let left = self.current.take_if(|current| {
            current.incarnation.name == incarnation.name
                && !incarnation.is_before(&current.incarnation)
        });
        if let Some(left) = &left {
            self.mark_departed(left.incarnation.clone());
        }
        self.mark_departed(incarnation.clone());
        left.is_some()
    }

    fn has_departed(&self, incarnation: &InstanceIncarnation) -> bool {
        match self.departed.get(&incarnation.name) {
            Some(until) => incarnation
                .started
                .is_none_or(|started| until.is_some_and(|until| started <= until)),
            None => false,
        }
    }

    fn mark_departed(&mut self, incarnation: InstanceIncarnation) {
        let until =
            self.departed.shift_remove(&incarnation.name).flatten().max(incarnation.started);
        self.departed.insert(incarnation.name, until);
        while self.departed.len() > MAX_DEPARTED {
            self.departed.shift_remove_index(0);
        }
    }
}
