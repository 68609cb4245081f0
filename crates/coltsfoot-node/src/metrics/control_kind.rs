//! Kinds of control traffic.

use super::metric_label::metric_label;

metric_label! {
    /// What control traffic is for.
    ControlKind {
        /// Membership.
        Gossip => "gossip",
        /// Spread of configuration.
        Configuration => "configuration",
        /// Retry accounts.
        Account => "account",
        /// Questions to the holder of a claim.
        Claim => "claim",
        /// Requests that end their upstreams.
        Quarantine => "quarantine",
        /// Credit of rate-limited teams.
        Quota => "quota",
        /// The platform's store.
        Store => "store",
        /// Operators, metrics and events.
        Operator => "operator",
    }
}
