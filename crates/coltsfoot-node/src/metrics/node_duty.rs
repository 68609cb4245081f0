//! Duties of a node.

use super::metric_label::metric_label;

metric_label! {
    /// A duty of the node, each with its own thread.
    NodeDuty {
        /// Listeners for clients, the upstream and operators.
        Http => "http",
        /// Admission, routing and calls.
        Dispatch => "dispatch",
        /// Membership.
        Gossip => "gossip",
        /// Client of the platform's store.
        Store => "store",
        /// Configuration.
        Config => "config",
        /// Record of events.
        Journal => "journal",
        /// Signals and drain.
        Main => "main",
    }
}
