//! Service order among the waiting calls of one rank.

value_type! {
    /// Order in which the waiting calls of one rank are served.
    #[derive(Default)]
    pub enum LaneOrder {
        /// Clients are served in turn, so that one with many calls does not starve the others.
        #[default]
        ClientTurns,
        /// The call whose client request entered first is served first. A request that makes many calls one after the
        /// other finishes before those that entered later, and a full queue evicts the call with the least work behind it.
        RequestAge,
    }
}
