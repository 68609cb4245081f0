//! Reason for refusing or abandoning a call.

value_type! {
    /// Reason in the body of a refusal. The reason does not determine the [`CallOutcome`](super::CallOutcome):
    /// a deadline, for example, can pass before or after the call was dispatched.
    #[derive(serde::Serialize, serde::Deserialize)]
    #[serde(rename_all = "kebab-case")]
    pub enum RefusalReason {
        /// The service has no capacity for work of this importance.
        Overload,
        /// The upstream has named a limit on its rate of requests, which is used up.
        UpstreamLimit,
        /// The node or the upstream is draining.
        Leaving,
        /// No upstream of the service is known or reachable.
        NoUpstream,
        /// The deadline has passed or cannot be met.
        Deadline,
        /// The idempotency key was already used with a different body.
        KeyConflict,
        /// The idempotency key is older than the retention period of its record.
        KeyExpired,
        /// An earlier request with this key is still running, or was interrupted.
        KeyInProgress,
        /// The table service cannot store the claim.
        StoreUnavailable,
        /// The upstream's response was incomplete or its connection failed.
        UpstreamFailed,
        /// The node has not received a configuration yet.
        NoConfiguration,
        /// The schema declares no such service or operation.
        UnknownOperation,
        /// The request is a retry, and the retry budget of its service is exhausted.
        RetryBudget,
        /// The request is malformed: a header is missing, wrong or oversized.
        BadRequest,
        /// The same request has crashed the upstreams that ran it.
        Quarantined,
        /// The request has no key, or a key that belongs to no team.
        UnknownKey,
        /// The node's configuration is too old to confirm that the key is still valid.
        StaleConfiguration,
        /// The team has exceeded its request rate.
        RateLimited,
        /// None of the nodes that track the team's rate is reachable.
        RateUnknown,
        /// The parent request of the nested call has ended or is unknown to this node.
        Orphaned,
    }
}

impl RefusalReason {
    /// All refusal reasons.
    pub const ALL: [Self; 20] = [
        Self::Overload,
        Self::UpstreamLimit,
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

    /// Returns the name of the reason in refusal bodies, logs and metric labels.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Overload => "overload",
            Self::UpstreamLimit => "upstream-limit",
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

    /// Returns the HTTP status of a refusal for this reason.
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
