//! What the connections of a listener share with the rest of the process.

use super::{BodyLimit, ConnectionSlots};
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
    /// Largest body of a request; `None`: that of the listener's limits.
    pub body_limit: Option<BodyLimit>,
}
