//! Why a call was refused or given up.

value_type! {
    /// The reason in the body of a refusal. The reason does not decide the outcome: a deadline can
    /// pass before or after the call was dispatched.
    #[derive(serde::Serialize, serde::Deserialize)]
    #[serde(rename_all = "kebab-case")]
    pub enum RefusalReason {
        /// The service has no room for work of this importance.
        Overload,
        /// The node or upstream is leaving.
        Leaving,
        /// No upstream of the service is known or reachable.
        NoUpstream,
        /// The deadline has passed or cannot be met.
        Deadline,
        /// The idempotency key stands with another body.
        KeyConflict,
        /// The idempotency key is older than the retention of its record.
        KeyExpired,
        /// An earlier request with this key is still running, or was interrupted.
        KeyInProgress,
        /// The table service cannot take the claim.
        StoreUnavailable,
        /// The upstream's answer was cut off or its connection failed.
        UpstreamFailed,
        /// The node has no configuration in force yet.
        NoConfiguration,
        /// The schema declares no such service or operation.
        UnknownOperation,
        /// A repeat, where its service has had as many as it bears for now.
        RetryBudget,
        /// The request is malformed: a header is missing, wrong or oversized.
        BadRequest,
        /// The same request has ended the upstreams that ran it.
        Quarantined,
        /// The request has no key that a team holds.
        UnknownKey,
        /// The node does not know for certain that the key still stands.
        StaleConfiguration,
        /// The team has sent as many requests as it may.
        RateLimited,
        /// No node that keeps the team's rate can be asked.
        RateUnknown,
        /// The work that the call is nested below has ended, or is not known here.
        Orphaned,
    }
}

impl RefusalReason {
    /// All reasons.
    pub const ALL: [Self; 19] = [
        Self::Overload,
        Self::Leaving,
        Self::NoUpstream,
        Self::Deadline,
        Self::KeyConflict,
        Self::KeyExpired,
        Self::KeyInProgress,
        Self::StoreUnavailable,
        Self::UpstreamFailed,
        Self::NoConfiguration,
        Self::UnknownOperation,
        Self::RetryBudget,
        Self::BadRequest,
        Self::Quarantined,
        Self::UnknownKey,
        Self::StaleConfiguration,
        Self::RateLimited,
        Self::RateUnknown,
        Self::Orphaned,
    ];

    /// The reason's name in a refusal's body, in logs and in metric labels.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Overload => "overload",
            Self::Leaving => "leaving",
            Self::NoUpstream => "no-upstream",
            Self::Deadline => "deadline",
            Self::KeyConflict => "key-conflict",
            Self::KeyExpired => "key-expired",
            Self::KeyInProgress => "key-in-progress",
            Self::StoreUnavailable => "store-unavailable",
            Self::UpstreamFailed => "upstream-failed",
            Self::NoConfiguration => "no-configuration",
            Self::UnknownOperation => "unknown-operation",
            Self::RetryBudget => "retry-budget",
            Self::BadRequest => "bad-request",
            Self::Quarantined => "quarantined",
            Self::UnknownKey => "unknown-key",
            Self::StaleConfiguration => "stale-configuration",
            Self::RateLimited => "rate-limited",
            Self::RateUnknown => "rate-unknown",
            Self::Orphaned => "orphaned",
        }
    }

    /// The HTTP status that carries the reason.
    pub fn status(self) -> u16 {
        match self {
            Self::Deadline => 504,
            Self::KeyConflict | Self::KeyExpired => 409,
            Self::UnknownOperation => 404,
            Self::BadRequest => 400,
            Self::UnknownKey => 401,
            Self::RateLimited => 429,
            _ => 503,
        }
    }
}

display_as_str!(RefusalReason);
