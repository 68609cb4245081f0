//! The schema an operator submits: services, operations, the call graph and what matters most.

mod call_edge;
mod client_entry;
mod operation_entry;
mod schema_document;
mod service_entry;

pub use call_edge::CallEdge;
pub use client_entry::ClientEntry;
pub use operation_entry::OperationEntry;
pub use schema_document::SchemaDocument;
pub use service_entry::ServiceEntry;
