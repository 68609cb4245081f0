//! Gathers the events of all nodes into one time line.
//!
//! Data flows one way: collect (from nodes or files) → merge (one order, gaps) → filter → output.

pub mod args;
pub mod collect;
pub mod merge;
pub mod output;

mod run;

pub use run::{RunStatus, run};
