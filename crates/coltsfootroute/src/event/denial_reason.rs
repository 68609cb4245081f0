//! Reason for denying a retry.

value_type! {
    /// Reason for denying a retry.
    #[derive(serde::Serialize, serde::Deserialize)]
    #[serde(rename_all = "kebab-case")]
    pub enum DenialReason {
        /// The account of the client request has no token left.
        Exhausted,
        /// The node that holds the account did not respond.
        Unreachable,
        /// The operation must not be repeated.
        NonRepeatable,
        /// The deadline leaves no time for another attempt.
        Deadline,
        /// The service is shedding load; a retry would add to it.
        Shedding,
        /// A nested call was not served after all of its attempts.
        FailedBelow,
        /// The limit on retries into the service is used up.
        Throttled,
        /// The call carries no valid context, so no account is known.
        NoAccount,
    }
}

impl DenialReason {
    /// All reasons.
    pub const ALL: [Self; 8] = [
        Self::Exhausted,
        Self::Unreachable,
        Self::NonRepeatable,
        Self::Deadline,
        Self::Shedding,
        Self::FailedBelow,
        Self::Throttled,
        Self::NoAccount,
    ];

    /// Returns the reason's name in logs and metric labels.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Exhausted => "exhausted",
            Self::Unreachable => "unreachable",
            Self::NonRepeatable => "non-repeatable",
            Self::Deadline => "deadline",
            Self::Shedding => "shedding",
            Self::FailedBelow => "failed-below",
            Self::Throttled => "throttled",
            Self::NoAccount => "no-account",
        }
    }
}

display_as_str!(DenialReason);
