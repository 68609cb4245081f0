//! What the upstream beside a node has said of itself, over late and reordered heartbeats.

use indexmap::IndexSet;

name_type! {
    /// One life of an upstream, named by itself; a restart has another.
    InstanceName
}

/// Departed instances remembered at most; the oldest are forgotten first.
const MAX_DEPARTED: usize = 64;

value_type! {
    /// What a heartbeat is worth.
    pub enum HeartbeatVerdict {
        /// It is the newest word of the present instance.
        Fresh,
        /// A newer heartbeat of the same instance was heard before.
        Stale,
        /// Its instance has left, or another one has taken its place.
        Departed,
    }
}

/// Orders the heartbeats of the instances that one host has had.
///
/// Invariants: an instance that has departed never returns; the sequence of the present instance rises.
#[derive(Clone, Debug, Default)]
pub struct InstanceLedger {
    present: Option<PresentInstance>,
    departed: IndexSet<InstanceName>,
}

#[derive(Clone, Debug)]
struct PresentInstance {
    name: InstanceName,
    sequence: u64,
}

impl InstanceLedger {
    /// A ledger that has heard nothing.
    pub fn new() -> Self {
        Self::default()
    }

    /// The instance that was heard last and has not departed.
    pub fn present(&self) -> Option<&InstanceName> {
        self.present.as_ref().map(|present| &present.name)
    }

    /// Takes in a heartbeat. A new instance takes the place of the present one.
    pub fn hear(&mut self, name: &InstanceName, sequence: u64) -> HeartbeatVerdict {
        if self.departed.contains(name) {
            return HeartbeatVerdict::Departed;
        }
        match &mut self.present {
            Some(present) if present.name == *name => {
                if sequence <= present.sequence {
                    return HeartbeatVerdict::Stale;
                }
                present.sequence = sequence;
            }
            _ => {
                let present = PresentInstance { name: name.clone(), sequence };
                if let Some(previous) = self.present.replace(present) {
                    self.forget(previous.name);
                }
            }
        }
        HeartbeatVerdict::Fresh
    }

    /// The instance was present in an earlier life of the ledger. Returns whether it is taken up again:
    /// only before any heartbeat was heard.
    pub fn resume(&mut self, name: &InstanceName) -> bool {
        if self.present.is_some() || self.departed.contains(name) {
            return false;
        }
        self.present = Some(PresentInstance { name: name.clone(), sequence: 0 });
        true
    }

    /// The instance has left. Returns whether it was the present one.
    pub fn leave(&mut self, name: &InstanceName) -> bool {
        let is_present = self.present.take_if(|present| present.name == *name).is_some();
        self.forget(name.clone());
        is_present
    }

    fn forget(&mut self, name: InstanceName) {
        self.departed.insert(name);
        while self.departed.len() > MAX_DEPARTED {
            self.departed.shift_remove_index(0);
        }
    }
}
