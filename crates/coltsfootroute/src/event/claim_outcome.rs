//! Outcome of a claim on an idempotency key.

value_type! {
    /// Outcome of a claim on an idempotency key.
    #[derive(serde::Serialize, serde::Deserialize)]
    #[serde(rename_all = "kebab-case")]
    pub enum ClaimOutcome {
        /// The key was unused; this node may run the request once.
        Granted,
        /// The stored response of an earlier run was replayed.
        Replayed,
        /// The key was used before with a different request body.
        Conflict,
        /// An earlier request with the key is still running, or was interrupted.
        InProgress,
        /// The key is older than the retention time of its record.
        Expired,
        /// The table service could not store the claim; nothing was dispatched.
        Unavailable,
        /// The claim was released, because its holder never dispatched the request.
        Released,
    }
}

impl ClaimOutcome {
    /// All outcomes.
    pub const ALL: [Self; 7] = [
        Self::Granted,
        Self::Replayed,
        Self::Conflict,
        Self::InProgress,
        Self::Expired,
        Self::Unavailable,
        Self::Released,
    ];

    /// Returns the outcome's name in logs and metric labels.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Granted => "granted",
            Self::Replayed => "replayed",
            Self::Conflict => "conflict",
            Self::InProgress => "in-progress",
            Self::Expired => "expired",
            Self::Unavailable => "unavailable",
            Self::Released => "released",
        }
    }
}

display_as_str!(ClaimOutcome);
