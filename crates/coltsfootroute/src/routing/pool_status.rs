//! Status of an upstream pool, for operators.

use std::time::Duration;

use super::{InFlightShare, UpstreamPhase, UpstreamTier};
use crate::id::{Incarnation, NodeId};

record_type! {
    /// Status of one upstream.
    pub struct UpstreamStatus {
        /// Node beside the upstream.
        pub node: NodeId,
        /// Life of the node.
        pub incarnation: Incarnation,
        /// Nearness to this caller.
        pub tier: UpstreamTier,
        /// Phase in the pool.
        pub phase: UpstreamPhase,
        /// This caller's calls in flight.
        pub in_flight: u32,
        /// Most calls that this caller keeps in flight.
        pub share: InFlightShare,
        /// Latency average; `None` before the first sample.
        pub latency: Option<Duration>,
        /// Weight in percent.
        pub weight_percent: u32,
    }
}

record_type! {
    /// Status of a pool, upstreams in order of their node.
    pub struct PoolStatus {
        /// Upstreams, leaving ones included.
        pub upstreams: Vec<UpstreamStatus>,
        /// Calls chosen in the own failure domain since the pool was made.
        pub chosen_near: u64,
        /// Calls chosen outside the own failure domain since the pool was made.
        pub chosen_far: u64,
        /// Ejections since the pool was made.
        pub ejections: u64,
    }
}
