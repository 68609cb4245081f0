//! How a routed call ended, as the caller saw it.

value_type! {
    /// Result of a call to an upstream.
    pub enum RouteResult {
        /// A complete answer came.
        Succeeded,
        /// The upstream answered with a failure, cut its answer off or let the deadline pass.
        Failed,
        /// The upstream failed the call because a nested call of it was not served; says nothing of itself.
        FailedBelow,
        /// The guard refused the call for lack of room.
        Refused,
        /// The node or the upstream behind it said that it is leaving.
        Leaving,
        /// No connection to the node.
        Unreachable,
        /// This caller gave the call up; says nothing of the upstream.
        Cancelled,
    }
}
