//! Tracking of the upstream instances beside a node, with late and reordered heartbeats.

use indexmap::IndexMap;

use super::{InstanceIncarnation, InstanceName, StartTime};

/// Maximum number of names of departed upstreams that are remembered; the oldest are forgotten first.
const MAX_DEPARTED: usize = 64;

value_type! {
    /// Classification of a heartbeat.
    pub enum HeartbeatVerdict {
        /// The newest heartbeat of the current incarnation.
        Fresh,
        /// A heartbeat no newer than one received earlier from the same incarnation.
        Stale,
        /// A heartbeat of an incarnation that has departed, or that started before the current one.
        Departed,
    }
}

/// Tracks which upstream incarnation of a host is current, from the heartbeats that arrive.
///
/// Invariants: an incarnation that has departed never returns; the sequence number of the current incarnation rises;
/// while heartbeats of the current incarnation arrive, no incarnation that started earlier replaces it, however late
/// its heartbeats arrive.
#[derive(Clone, Debug, Default)]
pub struct InstanceTracker {
    current: Option<CurrentInstance>,
    /// Departed incarnations by name: all that started by the given time, and all that report no start time.
    departed: IndexMap<InstanceName, Option<StartTime>>,
}

#[derive(Clone, Debug)]
struct CurrentInstance {
    incarnation: InstanceIncarnation,
    sequence: u64,
    /// Whether its heartbeats have stopped. Any other incarnation may then replace it, because a clock that was set
    /// back makes a new incarnation look old.
    is_silent: bool,
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

    /// Classifies a heartbeat. A new incarnation replaces the current one, unless it is known to have started before it
    /// and the current one still sends heartbeats.
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

    /// Notes that the heartbeats of the current incarnation have stopped.
    pub fn note_silence(&mut self) {
        if let Some(current) = &mut self.current {
            current.is_silent = true;
        }
    }

    /// Restores the incarnation that was current before this node restarted. Returns whether it did: only while no
    /// incarnation is current, and only if this one has not departed.
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

    /// Marks an incarnation and the earlier ones of its name as departed. Returns whether the current one is among
    /// them.
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
