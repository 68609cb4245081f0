//! The schema an operator submits: services, operations, the call graph and what matters most.

mod call_edge;
mod client_entry;
mod operation_entry;
mod schema_document;
mod schema_error;
mod schema_errors;
mod schema_parser;
mod service_entry;

pub use call_edge::CallEdge;
pub use client_entry::ClientEntry;
pub use operation_entry::OperationEntry;
pub use schema_document::SchemaDocument;
pub use schema_error::SchemaError;
pub use schema_errors::SchemaErrors;
pub use schema_parser::MAX_SCHEMA_BYTES;
pub use service_entry::ServiceEntry;
