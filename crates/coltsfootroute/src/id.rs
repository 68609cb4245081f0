//! Identifiers that the system assigns itself.

mod incarnation;
mod node_id;
mod request_id;

pub use incarnation::Incarnation;
pub use node_id::NodeId;
pub use request_id::RequestId;
