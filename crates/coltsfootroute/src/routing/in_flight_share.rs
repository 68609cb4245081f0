//! A caller's share of an upstream's connections.

value_type! {
    /// Most calls that this caller keeps in flight to one upstream.
    ///
    /// The connections of an upstream are divided evenly between its callers; the guard beside the
    /// upstream enforces the sum, so a share that is too large costs refusals, never connections.
    pub struct InFlightShare(pub u32);
}

impl InFlightShare {
    /// Share of `connections` for one of `callers`: rounded up, and at least `least`.
    pub fn new(connections: u32, callers: u32, least: u32) -> Self {
        let even = connections.div_ceil(callers.max(1));
        Self(even.max(least).min(connections).max(1))
    }
}
