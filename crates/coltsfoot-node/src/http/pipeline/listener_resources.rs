//! What the connections of a listener share with the rest of the process.

use super::ConnectionSlots;
use crate::{answers::AnswerTracker, memory::MemoryPool};

/// What the connections of a listener share with the rest of the process.
#[derive(Clone, Default)]
pub struct ListenerResources {
    /// Answers that still have to be handed over.
    pub answers: AnswerTracker,
    /// Memory for requests and answers.
    pub memory: MemoryPool,
    /// Bound on the connections of the listener.
    pub connections: ConnectionSlots,
}
