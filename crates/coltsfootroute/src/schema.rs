//! Schema that an operator submits: services, operations, the call graph, teams and importance.

mod call_edge;
mod call_graph;
mod client_entry;
mod operation_entry;
mod path_match;
mod rate_limit;
mod route_table;
mod schema_change;
mod schema_check;
mod schema_diff;
mod schema_document;
mod schema_error;
mod schema_errors;
mod schema_parser;
mod service_entry;
mod source_fields;
mod source_node;
mod source_reader;
mod source_report;
mod team_entry;

pub use call_edge::CallEdge;
pub use client_entry::ClientEntry;
pub use operation_entry::OperationEntry;
pub use path_match::PathMatch;
pub use rate_limit::RateLimit;
pub use route_table::{RouteTable, RouteTarget};
pub use schema_change::SchemaChange;
pub use schema_check::{MAX_CHAIN_DEPTH, MAX_NAME_BYTES};
pub use schema_diff::SchemaDiff;
pub use schema_document::SchemaDocument;
pub use schema_error::SchemaError;
pub use schema_errors::{MAX_SCHEMA_ERRORS, SchemaErrors};
pub use schema_parser::MAX_SCHEMA_BYTES;
pub use service_entry::ServiceEntry;
pub use team_entry::TeamEntry;
