//! Protection of the upstream beside the node: admission control, at-most-once execution, tracking of its instances,
//! and planned stops.

mod arrival_clients;
mod call_guard;
mod calls_in_flight;
mod claim_tasks;
mod crash_detection;
mod gate_maintenance;
mod guard_state;
mod guarded_call;
mod interrupted_calls;
mod local_upstream;
mod once_run;
mod once_service;
mod planned_stop;
mod quarantine_check;
mod run_permit;
mod upstream_arrival;
mod upstream_client;
mod upstream_heartbeat;
mod upstream_receipt;
mod upstream_run;
mod upstream_statements;

pub use call_guard::{CallGuard, GuardSettings};
pub use calls_in_flight::{CallSpan, NestedCallTracker};
pub use planned_stop::CallKind;
pub use upstream_client::end_to_end_headers;
pub use upstream_heartbeat::UpstreamHeartbeat;
pub use upstream_receipt::UpstreamReceipt;
