//! Phase of a leave.

value_type! {
    /// Phase of a node or an upstream; only ever moves forward.
    pub enum DrainPhase {
        /// Takes work.
        Serving,
        /// Takes no new work; what is in flight goes on.
        Leaving,
        /// Nothing is in flight and callers have had time to learn of it: the process may exit.
        Drained,
    }
}

impl DrainPhase {
    /// The phase's name in logs and metric labels.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Serving => "serving",
            Self::Leaving => "leaving",
            Self::Drained => "drained",
        }
    }
}

display_as_str!(DrainPhase);
