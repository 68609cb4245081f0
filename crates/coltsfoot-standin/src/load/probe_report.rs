//! What a node adds to a call.

/// Time beyond the service time, through a node and directly, microseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct ProbeReport {
    /// Pairs of which both calls completed.
    pub pairs: u64,
    /// Median through a node.
    pub node_p50_us: u64,
    /// 99th percentile through a node.
    pub node_p99_us: u64,
    /// Median of direct calls.
    pub direct_p50_us: u64,
    /// 99th percentile of direct calls.
    pub direct_p99_us: u64,
}
