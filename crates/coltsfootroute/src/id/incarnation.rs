//! Incarnation of a node.

value_type! {
    /// Orders the lives of a process at one address: a restarted node has a higher incarnation than
    /// the life before it, and a node raises its own to refute a false suspicion.
    ///
    /// Starts at the wall clock's milliseconds since the Unix epoch.
    pub struct Incarnation(pub u64);
}

impl Incarnation {
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
