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
pub struct BirthTime(pub u64);

record_type! {
    /// One life of an upstream, from a start to its end.
    pub struct InstanceLife {
        /// Name of the upstream.
        pub name: InstanceName,
        /// When it started; `None` where it does not say so, and then has another name in each life.
        pub born: Option<BirthTime>,
    }
}

impl InstanceLife {
    /// A life of an upstream that does not say when it started.
    pub fn new(name: InstanceName) -> Self {
        Self { name, born: None }
    }

    /// Says when it started.
    pub fn with_born(self, born: Option<BirthTime>) -> Self {
        Self { born, ..self }
    }

    /// Whether it is known to have started before `other`.
    pub(super) fn is_before(&self, other: &Self) -> bool {
        matches!((self.born, other.born), (Some(own), Some(others)) if own < others)
    }
}
