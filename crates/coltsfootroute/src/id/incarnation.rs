//! Incarnation of a node.

value_type! {
    /// Orders the lives of a process at one address: a restarted node has a higher incarnation than
    /// the life before it, and a node raises its own to refute a false suspicion.
    ///
    /// Starts at the wall clock's milliseconds since the Unix epoch.
    pub struct Incarnation(pub u64);
}

impl Incarnation {
    /// Least distance between two lives. No process starts, joins and starts again within so many
    /// milliseconds, and refutations raise an incarnation by one only.
    const MIN_INSTANCE_DISTANCE_MS: u64 = 100;

    /// The lowest incarnation of a life after this one.
    pub fn next_instance(self) -> Self {
        Self(self.0.saturating_add(Self::MIN_INSTANCE_DISTANCE_MS))
    }

    /// Whether this is of a later life than `earlier`, rather than a refutation in the same life.
    pub fn is_later_instance(self, earlier: Self) -> bool {
        self >= earlier.next_instance()
    }

    /// The next higher incarnation.
    pub fn next(self) -> Self {
        Self(self.0.saturating_add(1))
    }
}

impl std::fmt::Display for Incarnation {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        self.0.fmt(f)
    }
}
