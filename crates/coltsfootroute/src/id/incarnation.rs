//! Incarnation of a node.

value_type! {
    /// Orders the instances of a process at one address: a restarted node has a higher incarnation than the previous
    /// instance, and a node raises its own incarnation to refute a false suspicion.
    ///
    /// Starts at the wall clock's milliseconds since the Unix epoch.
    pub struct Incarnation(pub u64);
}

impl Incarnation {
    /// Minimum distance between the incarnations of two instances, in milliseconds. No process starts, joins and starts
    /// again within this time, and a refutation raises an incarnation by only one.
    const MIN_INSTANCE_DISTANCE_MS: u64 = 100;

    /// Returns the lowest incarnation of a later instance.
    pub fn next_instance(self) -> Self {
        Self(self.0.saturating_add(Self::MIN_INSTANCE_DISTANCE_MS))
    }

    /// Whether this incarnation belongs to a later instance than `earlier`, and is no refutation by the same instance.
    pub fn is_later_instance(self, earlier: Self) -> bool {
        self >= earlier.next_instance()
    }

    /// Returns the next higher incarnation.
    pub fn next(self) -> Self {
        Self(self.0.saturating_add(1))
    }
}

impl std::fmt::Display for Incarnation {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        self.0.fmt(f)
    }
}
