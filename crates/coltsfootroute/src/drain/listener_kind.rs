//! Listeners of a node.

value_type! {
    /// A listener, as far as its idle connections go.
    pub enum ListenerKind {
        /// For clients.
        Client,
        /// On the host's own address, for the upstream beside the node.
        Host,
        /// For other nodes.
        Peer,
    }
}
