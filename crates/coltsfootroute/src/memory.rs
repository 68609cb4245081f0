//! Limits on what a node holds for its clients.

mod memory_budget;
mod scarcity;

pub use memory_budget::{MemoryBudget, SMALL_HOLD_BYTES};
pub use scarcity::Scarcity;
