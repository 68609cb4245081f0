//! One upstream of a deployment: it serves the operations of its service, makes the nested calls
//! that the schema declares through its own node, and counts what it ran.
//!
//! Built on `hyper`'s server: `xitca-http` does not watch the connection while a handler runs, so
//! work whose caller has gone could not be stopped.

mod answer_body;
mod call_handler;
mod call_request;
mod connection_loop;
mod control_command;
mod control_state;
mod counts_report;
mod health_mode;
mod nested_calls;
mod node_link;
mod request_router;
mod run_counts;
mod run_error;
mod run_guard;
mod service_time;
mod slot_queue;
mod upstream_error;
mod upstream_handle;
mod upstream_server;
mod upstream_settings;
mod upstream_state;

pub use control_command::ControlCommand;
pub use counts_report::CountsReport;
pub use health_mode::HealthMode;
pub use upstream_error::UpstreamError;
pub use upstream_handle::UpstreamHandle;
pub use upstream_server::UpstreamServer;
pub use upstream_settings::UpstreamSettings;
