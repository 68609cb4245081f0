//! What the stand-in has served.

use serde::{Deserialize, Serialize};

/// Counts since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TableCounts {
    /// Reads and scans carried out.
    pub reads: u64,
    /// Transactions carried out, those with a conflict included.
    pub writes: u64,
    /// Rows written by those transactions.
    pub rows_written: u64,
    /// Transactions that met a conflict.
    pub conflicts: u64,
    /// Requests refused by the rate limits.
    pub refused_by_rate: u64,
    /// Requests refused while down.
    pub refused_down: u64,
    /// Requests that arrived while they are held back, whatever became of them later.
    pub held: u64,
    /// Requests to the object store carried out.
    pub objects: u64,
}
