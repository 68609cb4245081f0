//! Choice of the upstream for a call.
//!
//! There is one [`UpstreamPool`] per called service. A caller decides by what it observes itself: its calls in flight,
//! their latency and their results. Where it asks for it, replies also report how full the guard of the upstream is; load
//! is neither gossiped nor probed.

mod in_flight_share;
mod latency_average;
mod pool_status;
mod reported_load;
mod route_result;
mod routing_settings;
mod upstream_candidate;
mod upstream_health;
mod upstream_info;
mod upstream_occupancy;
mod upstream_phase;
mod upstream_pool;
mod upstream_record;
mod upstream_tier;

pub use in_flight_share::InFlightShare;
pub use pool_status::{PoolStatus, UpstreamStatus};
pub use route_result::RouteResult;
pub use routing_settings::RoutingSettings;
pub use upstream_info::UpstreamInfo;
pub use upstream_occupancy::UpstreamOccupancy;
pub use upstream_phase::UpstreamPhase;
pub use upstream_pool::UpstreamPool;
pub use upstream_tier::UpstreamTier;
