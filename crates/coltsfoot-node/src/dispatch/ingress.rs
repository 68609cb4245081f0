//! Accepts requests of clients and of the upstream beside the node, and routes them to upstreams.

mod attempt_tracker;
mod call_ingress;
mod call_routing;
mod client_request;
mod incoming_call;
mod member_counts;
mod member_search;
mod nested_request;
mod pool_watch;
mod request_record;
mod retry_tokens;
mod root_shedding;
mod route_progress;
mod routed_call;
mod service_pool;
mod share_shedding;
mod team_access;
mod team_credits;
mod team_quota;
mod timely_hints;
mod upstream_notices;

pub use call_ingress::CallIngress;
pub use incoming_call::{CallOrigin, IncomingCall};
pub use member_counts::MemberCounts;
