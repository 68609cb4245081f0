//! What an upstream announces.

use crate::name::ServiceName;

record_type! {
    /// The upstream beside a node, as it announced itself.
    pub struct UpstreamOffer {
        /// Service that it belongs to.
        pub service: ServiceName,
        /// Requests that it runs at once.
        pub slots: u32,
        /// Connections that it accepts.
        pub connections: u32,
    }
}
