//! Phase of a drain.

value_type! {
    /// Phase of a node or an upstream; advances only from one variant to a later one.
    pub enum DrainPhase {
        /// Accepts new work.
        Serving,
        /// Accepts no new work; work in flight continues.
        Leaving,
        /// No work is in flight and the notice period for callers has passed, so the process may exit.
        Drained,
    }
}

impl DrainPhase {
    /// Returns the name of the phase in logs and metric labels.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Serving => "serving",
            Self::Leaving => "leaving",
            Self::Drained => "drained",
        }
    }
}

display_as_str!(DrainPhase);
