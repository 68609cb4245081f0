//! Figures of the memory for requests and answers.

/// Figures of the memory for requests and answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemoryUsage {
    /// Bytes held.
    pub held: usize,
    /// Most bytes held.
    pub limit: usize,
    /// Requests and answers so far for which there was no room.
    pub refused: u64,
}
