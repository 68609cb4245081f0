//! What the upstream beside a node has said of itself, over late and reordered heartbeats.

use indexmap::IndexMap;

use super::{BirthTime, InstanceLife, InstanceName};

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
pub struct InstanceLedger {
    present: Option<PresentLife>,
    /// Lives that have departed: those of a name that began until then, and those that do not say when they began.
    departed: IndexMap<InstanceName, Option<BirthTime>>,
}

#[derive(Clone, Debug)]
struct PresentLife {
    life: InstanceLife,
    sequence: u64,
    /// Whether it has fallen silent. Then any other life may take its place: a time of day that was set back makes a new
    /// life look old.
    is_silent: bool,
}

impl InstanceLedger {
    /// A ledger that has heard nothing.
    pub fn new() -> Self {
        Self::default()
    }

    /// The life that was heard last and has not departed.
    pub fn present(&self) -> Option<&InstanceLife> {
        self.present.as_ref().map(|present| &present.life)
    }

    /// Takes in a heartbeat. A new life takes the place of the present one.
    pub fn hear(&mut self, life: &InstanceLife, sequence: u64) -> HeartbeatVerdict {
        if self.has_departed(life) {
            return HeartbeatVerdict::Departed;
        }
        match &mut self.present {
            Some(present) if present.life == *life => {
                if sequence <= present.sequence {
                    return HeartbeatVerdict::Stale;
                }
                present.sequence = sequence;
                present.is_silent = false;
            }
            Some(present) if !present.is_silent && life.is_before(&present.life) => {
                return HeartbeatVerdict::Departed;
            }
            _ => {
                let present = PresentLife { life: life.clone(), sequence, is_silent: false };
                if let Some(previous) = self.present.replace(present) {
                    self.forget(previous.life);
                }
            }
        }
        HeartbeatVerdict::Fresh
    }

    /// The present life has not been heard of for long.
    pub fn note_silence(&mut self) {
        if let Some(present) = &mut self.present {
            present.is_silent = true;
        }
    }

    /// The life was present in an earlier life of the ledger. Returns whether it is taken up again: only before any
    /// heartbeat was heard.
    pub fn resume(&mut self, life: &InstanceLife) -> bool {
        if self.present.is_some() || self.has_departed(life) {
            return false;
        }
        self.present = Some(PresentLife { life: life.clone(), sequence: 0, is_silent: false });
        true
    }

    /// The life has left, and those of its name before it. Returns whether the present one is among them.
    pub fn leave(&mut self, life: &InstanceLife) -> bool {
        let left = self
            .present
            .take_if(|present| present.life.name == life.name && !life.is_before(&present.life));
        if let Some(left) = &left {
            self.forget(left.life.clone());
        }
        self.forget(life.clone());
        left.is_some()
    }

    fn has_departed(&self, life: &InstanceLife) -> bool {
        match self.departed.get(&life.name) {
            Some(until) => life.born.is_none_or(|born| until.is_some_and(|until| born <= until)),
            None => false,
        }
    }

    fn forget(&mut self, life: InstanceLife) {
        let until = self.departed.shift_remove(&life.name).flatten().max(life.born);
        self.departed.insert(life.name, until);
        while self.departed.len() > MAX_DEPARTED {
            self.departed.shift_remove_index(0);
        }
    }
}
