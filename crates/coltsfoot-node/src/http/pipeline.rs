//! HTTP/1.1 connections whose requests may follow one another before the first is answered.
//!
//! Neither `xitca-web` nor `hyper` works on a request before the one ahead of it is answered, and neither
//! shows while a handler runs that its client has gone. Heads are parsed by `httparse`; what follows here is
//! framing, order and bounds.

mod body_limit;
mod body_reader;
mod connection;
mod connection_limits;
mod connection_slots;
mod listener_resources;
mod request_buffer;
mod request_error;
mod response_bytes;
mod retry_after;

pub use body_limit::BodyLimit;
pub use connection::accept_connections;
pub use connection_limits::ConnectionLimits;
pub use connection_slots::{ConnectionSlot, ConnectionSlots};
pub use listener_resources::ListenerResources;
pub use request_error::FramingError;
pub use retry_after::set_retry_after;

use bytes::Bytes;

/// A whole request.
pub type WholeRequest = http::Request<Bytes>;
/// A whole response.
pub type WholeResponse = http::Response<Bytes>;
