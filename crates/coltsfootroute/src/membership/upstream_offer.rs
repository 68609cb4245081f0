//! Announcement of an upstream.

use crate::name::ServiceName;

record_type! {
    /// Service and capacity that the upstream beside a node has announced.
    pub struct UpstreamOffer {
        /// Service that the upstream belongs to.
        pub service: ServiceName,
        /// Number of requests that the upstream runs concurrently.
        pub slots: u32,
        /// Number of connections that the upstream accepts.
        pub connections: u32,
    }
}
