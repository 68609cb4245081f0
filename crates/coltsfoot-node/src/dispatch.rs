//! The dispatch duty: one thread that takes calls in, routes them, guards the upstream beside the node
//! and talks to the other nodes.

mod attempt_count;
mod calls_in_flight;
mod client_request;
mod clock_drift;
mod control_traffic;
mod dispatch_command;
mod dispatch_handle;
mod dispatch_thread;
mod dispatcher;
mod entry_port;
mod guard;
mod guard_run;
mod guard_state;
mod incoming_call;
mod introduction_desk;
mod local_upstream;
mod member_counts;
mod nested_request;
mod node_state;
mod node_status;
mod once_desk;
mod once_run;
mod peer_links;
mod peer_server;
mod request_record;
mod retry_tokens;
mod route_progress;
mod routed_call;
mod run_permit;
mod service_pool;
mod status_body;
mod upstream_client;

pub use dispatch_command::DispatchCommand;
pub use dispatch_handle::DispatchHandle;
pub use dispatch_thread::{DispatchParts, DispatchThread, FrontDoor};
pub use dispatcher::NodeIdentity;
pub use entry_port::{EntryPort, EntryReply, UpstreamHeartbeat};
pub use incoming_call::{CallOrigin, IncomingCall};
pub use local_upstream::UpstreamAnnouncement;
pub use upstream_client::end_to_end;
