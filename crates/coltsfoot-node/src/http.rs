//! The two HTTP listeners: one for clients, one on the host's own address.

mod call_path;
mod client_listener;
mod host_listener;
mod http_reply;
mod listener_state;
pub mod pipeline;
mod request_parts;
mod serve;
mod worker_meter;

pub use http_reply::HttpReply;
pub use listener_state::{ClientState, HostState};
pub use request_parts::{PartLimits, RequestError};
pub use serve::{HttpListener, ListenerError};
