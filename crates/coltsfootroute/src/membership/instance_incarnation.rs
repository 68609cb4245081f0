//! One life of an upstream.

name_type! {
    /// Name that an upstream gives itself. It may keep it when it starts again.
    InstanceName
}

/// When an upstream started, by its own time of day: milliseconds since the Unix epoch.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize,
)]
#[serde(transparent)]
pub struct StartTime(pub u64);

record_type! {
    /// One life of an upstream, from a start to its end.
    pub struct InstanceIncarnation {
        /// Name of the upstream.
        pub name: InstanceName,
        /// When it started; `None` where it does not say so, and then has another name in each life.
        pub started: Option<StartTime>,
    }
}

impl InstanceIncarnation {
    /// A life of an upstream that does not say when it started.
    pub fn new(name: InstanceName) -> Self {
        Self { name, started: None }
    }

    /// Says when it started.
    pub fn with_started(self, started: Option<StartTime>) -> Self {
        Self { started, ..self }
    }

    /// Whether it is known to have started before `other`.
    pub(super) fn is_before(&self, other: &Self) -> bool {
        matches!((self.started, other.started), (Some(own), Some(others)) if own < others)
    }
}
