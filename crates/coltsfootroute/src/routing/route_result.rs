//! Result of a routed call, as observed by the caller.

value_type! {
    /// Result of a call to an upstream.
    pub enum RouteResult {
        /// A complete answer was received.
        Succeeded,
        /// The upstream answered with a failure, broke off its answer or exceeded the deadline.
        Failed,
        /// The upstream failed the call because a nested call was not served. Says nothing about the upstream's
        /// own health.
        FailedBelow,
        /// The guard refused the call for lack of capacity.
        Refused,
        /// The node or its upstream refused the call because it is leaving.
        Leaving,
        /// No connection to the node could be established.
        Unreachable,
        /// This caller cancelled the call. Says nothing about the upstream's health.
        Cancelled,
    }
}
