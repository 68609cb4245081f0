//! Phase of an upstream in a pool.

value_type! {
    /// What a pool thinks of an upstream.
    pub enum UpstreamPhase {
        /// Takes calls at full weight.
        Serving,
        /// Takes calls at a weight that ramps up after a cold start or a return.
        Warming,
        /// Membership suspects it: takes calls only where nothing else can.
        Suspect,
        /// Failed or slow: takes no calls for now.
        Ejected,
        /// Ejection is over: takes one trial call at a time.
        Trial,
        /// Takes no new calls in this life: it is leaving, or membership no longer names it.
        Leaving,
    }
}

impl UpstreamPhase {
    /// The phase's name in logs and metric labels.
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
