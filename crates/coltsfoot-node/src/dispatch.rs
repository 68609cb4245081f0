//! The dispatch duty: one thread that accepts and routes calls, guards the upstream beside the node and
//! communicates with the other nodes.
//!
//! Its parts depend on one another in one direction only: `ingress`, which accepts and routes calls, depends on
//! `guard`, which protects the upstream beside the node; both depend on `links`, the connections to other nodes, and
//! all of them on `context`, which holds no request. `dispatch_duty` assembles them.

mod context;
mod dispatch_command;
mod dispatch_duty;
mod dispatch_handle;
mod dispatch_parts;
mod dispatch_thread;
mod entry_port;
mod guard;
mod ingress;
pub mod links;
mod node_status;
mod quarantine_body;
mod status_body;

pub use context::NodeIdentity;
pub use dispatch_command::DispatchCommand;
pub use dispatch_handle::DispatchHandle;
pub use dispatch_parts::DispatchParts;
pub use dispatch_thread::{BoundFront, DispatchThread};
pub use entry_port::{EntryPort, EntryReply};
pub use guard::{UpstreamHeartbeat, UpstreamReceipt, end_to_end_headers};
pub use ingress::{CallOrigin, IncomingCall};
pub use links::UpstreamAnnouncement;
