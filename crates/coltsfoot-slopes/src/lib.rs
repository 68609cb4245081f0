//! Slopes of the library's costs, for the capacity page: bytes, processor time and memory as functions of
//! the number of nodes, members, services and changes. Development only, never linked into a node.
//!
//! Many members run inside one process by the library's own state on a driven clock. Messages are
//! encoded and decoded as on the wire and reach the receiver at its next step; no network is modelled.

pub mod arguments;
pub mod heap_meter;
pub mod mesh;
pub mod processor_clock;
pub mod report;
pub mod run;
pub mod sample_schema;
pub mod slopes;
