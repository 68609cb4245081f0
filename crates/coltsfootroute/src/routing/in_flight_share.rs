//! A caller's share of an upstream's connections.

value_type! {
    /// Maximum number of calls that this caller keeps in flight to one upstream.
    ///
    /// The connections of an upstream are divided evenly between its callers. The guard beside the upstream enforces
    /// the sum, so a share that is too large leads to refusals but never to too many connections.
    pub struct InFlightShare(pub u32);
}

impl InFlightShare {
    /// Creates the share of `connections` for one of `callers`: rounded up, at least `min` and at least 1, and
    /// otherwise at most `connections`.
    pub fn new(connections: u32, callers: u32, min: u32) -> Self {
        let even = connections.div_ceil(callers.max(1));
        Self(even.max(min).min(connections).max(1))
    }
}
