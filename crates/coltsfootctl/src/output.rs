//! What a command prints.

mod plain_table;
mod report;

pub use plain_table::{PlainTable, one_line, shown_time};
pub use report::Report;
