//! What protects the upstream beside the node: admission, at most once, its lives, and a planned stop.

mod admitted_call;
mod call_guard;
mod calls_in_flight;
mod gate_upkeep;
mod guard_run;
mod guard_state;
mod local_upstream;
mod once_desk;
mod once_errands;
mod once_run;
mod planned_stop;
mod run_permit;
mod upstream_client;
mod upstream_heartbeat;

pub use call_guard::{CallGuard, GuardParts};
pub use calls_in_flight::{CallSpan, NestedMark};
pub use planned_stop::CallKind;
pub use upstream_client::end_to_end;
pub use upstream_heartbeat::UpstreamHeartbeat;
