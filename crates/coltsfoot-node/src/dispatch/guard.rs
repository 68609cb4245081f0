//! What protects the upstream beside the node: admission, at most once, its lives, and a planned stop.

mod call_guard;
mod calls_in_flight;
mod cut_calls;
mod end_watch;
mod gate_upkeep;
mod guard_state;
mod guarded_call;
mod held_call;
mod local_upstream;
mod once_desk;
mod once_errands;
mod once_run;
mod planned_stop;
mod run_permit;
mod upstream_client;
mod upstream_heartbeat;
mod upstream_receipt;
mod upstream_run;

pub use call_guard::{CallGuard, GuardParts};
pub use calls_in_flight::{CallSpan, NestedMark};
pub use planned_stop::CallKind;
pub use upstream_client::end_to_end;
pub use upstream_heartbeat::UpstreamHeartbeat;
pub use upstream_receipt::UpstreamReceipt;
