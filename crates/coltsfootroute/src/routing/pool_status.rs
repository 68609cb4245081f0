//! Status of an upstream pool, for operators.

use std::time::Duration;

use super::{InFlightShare, UpstreamPhase, UpstreamTier};
use crate::id::{Incarnation, NodeId};

record_type! {
    /// Status of one upstream.
    pub struct UpstreamStatus {
        /// Node beside the upstream.
        pub node: NodeId,
        /// Incarnation of the node.
        pub incarnation: Incarnation,
        /// Distance from this caller.
        pub tier: UpstreamTier,
        /// Phase in the pool.
        pub phase: UpstreamPhase,
        /// This caller's calls in flight.
        pub in_flight: u32,
        /// Maximum number of calls that this caller keeps in flight.
        pub share: InFlightShare,
        /// Moving average of the latency; `None` before the first sample.
        pub latency: Option<Duration>,
        /// Weight in percent.
        pub weight_percent: u32,
    }
}

record_type! {
    /// Status of a pool.
    pub struct PoolStatus {
        /// Upstreams in order of their nodes, leaving ones included.
        pub upstreams: Vec<UpstreamStatus>,
        /// Choices of an upstream in the own failure domain since the pool was created.
        pub chosen_near: u64,
        /// Choices of an upstream outside the own failure domain since the pool was created.
        pub chosen_far: u64,
        /// Ejections since the pool was created.
        pub ejections: u64,
    }
}
