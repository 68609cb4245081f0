//! Body of the reply to `GET /status`.

use coltsfootroute::{
    drain::DrainReport,
    membership::MembershipStatus,
    routing::{PoolStatus, UpstreamPhase, UpstreamStatus},
};

use super::ingress::MemberCounts;

/// Maximum number of upstreams listed individually for a pool.
const MAX_LISTED_UPSTREAMS: usize = 32;

/// The state of a node.
#[derive(serde::Serialize)]
pub struct StatusBody {
    pub node: String,
    pub incarnation: u64,
    pub domain: String,
    pub region: String,
    pub revision: u64,
    /// Whether the node accepts calls.
    pub ready: bool,
    pub phase: &'static str,
    pub in_flight: u64,
    /// Calls that delay a planned stop beyond its time limit.
    pub overdue: Option<OverdueBody>,
    /// Number of connections to other nodes.
    pub links: usize,
    /// `None` if the gossip duty did not answer.
    pub membership: Option<MembershipBody>,
    /// Members of the local upstream's service and of the services called.
    pub services: Vec<ServiceBody>,
    pub upstream: Option<UpstreamBody>,
    /// Upstreams of the services called, as this node's routing sees them.
    pub pools: Vec<PoolBody>,
}

/// A planned stop that takes longer than its time limit.
#[derive(serde::Serialize)]
pub struct OverdueBody {
    in_flight: u64,
    unsent: usize,
    waited_ms: u64,
}

impl From<DrainReport> for OverdueBody {
    fn from(report: DrainReport) -> Self {
        let waited_ms = u64::try_from(report.waited.as_millis()).unwrap_or(u64::MAX);
        Self { in_flight: report.in_flight, unsent: report.unsent, waited_ms }
    }
}

/// Membership state of the gossip duty.
#[derive(serde::Serialize)]
pub struct MembershipBody {
    /// Whether another node has answered.
    joined: bool,
    /// Current incarnation; the node increments it to refute reports that it is suspect or dead.
    incarnation: u64,
    /// Number of nodes of other services kept as entry points.
    seeds: usize,
}

impl From<MembershipStatus> for MembershipBody {
    fn from(status: MembershipStatus) -> Self {
        Self { joined: status.joined, incarnation: status.incarnation.0, seeds: status.seeds }
    }
}

/// Members of one service.
#[derive(serde::Serialize)]
pub struct ServiceBody {
    pub service: String,
    pub members: MemberCounts,
}

/// The upstream beside the node and the gate in front of it.
#[derive(serde::Serialize)]
pub struct UpstreamBody {
    pub service: String,
    pub leaving: bool,
    pub limit: u32,
    pub in_flight: u32,
    pub queued: u32,
    /// Maximum number of calls that may wait.
    pub queue: u32,
    /// Shed level in thousandths of an importance level.
    pub severity: u16,
}

/// Upstreams of a called service.
#[derive(serde::Serialize)]
pub struct PoolBody {
    service: String,
    upstreams: usize,
    phases: PhaseCounts,
    /// Calls routed within the node's own failure domain; like the next two, counted since the service was watched.
    chosen_near: u64,
    chosen_far: u64,
    ejections: u64,
    /// First upstreams that do not serve at full weight, up to [`MAX_LISTED_UPSTREAMS`].
    not_serving: Vec<ListedUpstream>,
}

#[derive(Default, serde::Serialize)]
struct PhaseCounts {
    serving: usize,
    warming: usize,
    suspect: usize,
    ejected: usize,
    trial: usize,
    leaving: usize,
}

#[derive(serde::Serialize)]
struct ListedUpstream {
    node: String,
    phase: &'static str,
    weight_percent: u32,
}

impl PoolBody {
    /// Creates the body for the pool of `service`.
    pub fn new(service: String, status: &PoolStatus) -> Self {
        let mut phases = PhaseCounts::default();
        for upstream in &status.upstreams {
            *phases.count_of(upstream.phase) += 1;
        }
        let others = status.upstreams.iter().filter(|other| other.phase != UpstreamPhase::Serving);
        Self {
            service,
            upstreams: status.upstreams.len(),
            phases,
            chosen_near: status.chosen_near,
            chosen_far: status.chosen_far,
            ejections: status.ejections,
            not_serving: others.take(MAX_LISTED_UPSTREAMS).map(ListedUpstream::from).collect(),
        }
    }
}

impl PhaseCounts {
    fn count_of(&mut self, phase: UpstreamPhase) -> &mut usize {
        match phase {
            UpstreamPhase::Serving => &mut self.serving,
            UpstreamPhase::Warming => &mut self.warming,
            UpstreamPhase::Suspect => &mut self.suspect,
            UpstreamPhase::Ejected => &mut self.ejected,
            UpstreamPhase::Trial => &mut self.trial,
            UpstreamPhase::Leaving => &mut self.leaving,
        }
    }
}

impl From<&UpstreamStatus> for ListedUpstream {
    fn from(status: &UpstreamStatus) -> Self {
        Self {
            node: status.node.to_string(),
            phase: status.phase.as_str(),
            weight_percent: status.weight_percent,
        }
    }
}
