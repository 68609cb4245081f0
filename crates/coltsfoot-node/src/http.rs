//! The two HTTP listeners, one for clients, one on the host's own address; and the client for the node's own requests.

mod bearer_key;
mod call_path;
mod client_listener;
mod host_listener;
mod http_reply;
mod listener_state;
mod outgoing;
pub mod pipeline;
mod request_parts;
mod serve;
mod worker_meter;

pub use bearer_key::bearer_key;
pub use http_reply::HttpReply;
pub use listener_state::{ClientState, HostState};
pub use outgoing::{OutgoingClient, OutgoingSettings};
pub use request_parts::{PartLimits, RequestError};
pub use serve::{HttpListener, ListenerError};
