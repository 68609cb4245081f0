//! Incarnation of an upstream instance.

use std::fmt;

name_type! {
    /// Name that an upstream gives itself. It may keep the name when it restarts.
    InstanceName
}

/// Start time of an upstream by its own wall clock, in milliseconds since the Unix epoch.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize,
)]
#[serde(transparent)]
pub struct StartTime(pub u64);

impl fmt::Display for StartTime {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

record_type! {
    /// One run of an upstream process, from its start to its exit. Name and start time together identify it; the order
    /// of two start times proves nothing, because the clock that they come from may be set either way.
    #[derive(Hash)]
    pub struct InstanceIncarnation {
        /// Name of the upstream.
        pub name: InstanceName,
        /// Start time. `None` if the upstream does not report it; it then has another name in each incarnation.
        pub started: Option<StartTime>,
    }
}

impl InstanceIncarnation {
    /// Creates an incarnation without a start time.
    pub fn new(name: InstanceName) -> Self {
        Self { name, started: None }
    }

    /// Sets the start time.
    pub fn with_started(self, started: Option<StartTime>) -> Self {
        Self { started, ..self }
    }

    /// Whether this incarnation seems to have started before `other`. False if either has no start time.
    pub(super) fn is_before(&self, other: &Self) -> bool {
        matches!((self.started, other.started), (Some(own), Some(others)) if own < others)
    }
}
