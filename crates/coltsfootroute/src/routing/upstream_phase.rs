//! Phase of an upstream in a pool.

value_type! {
    /// Phase of an upstream, which decides whether and how it receives calls.
    pub enum UpstreamPhase {
        /// Receives calls at full weight.
        Serving,
        /// Receives calls at a weight that ramps up after a cold start or a return from ejection.
        Warming,
        /// Suspected by membership: receives calls only if no other upstream accepts them.
        Suspect,
        /// Failed or was slow: receives no calls until the ejection is over.
        Ejected,
        /// The ejection is over: receives one trial call at a time.
        Trial,
        /// Leaving, or no longer listed by membership: no ordinary choice in this incarnation.
        Leaving,
    }
}

impl UpstreamPhase {
    /// Returns the phase's name in logs and metric labels.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Serving => "serving",
            Self::Warming => "warming",
            Self::Suspect => "suspect",
            Self::Ejected => "ejected",
            Self::Trial => "trial",
            Self::Leaving => "leaving",
        }
    }
}

display_as_str!(UpstreamPhase);
