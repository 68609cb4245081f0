//! Kinds of listeners of a node.

value_type! {
    /// Kind of a listener, which determines when its idle connections are closed during a drain.
    pub enum ListenerKind {
        /// Accepts connections from clients.
        Client,
        /// Accepts connections on the host's own address, for the upstream on the same host.
        Host,
        /// Accepts connections from other nodes.
        Peer,
    }
}
