//! How a claim on an idempotency key ended.

value_type! {
    /// How a claim on an idempotency key ended.
    #[derive(serde::Serialize, serde::Deserialize)]
    #[serde(rename_all = "kebab-case")]
    pub enum ClaimOutcome {
        /// The key was free; this node may run the request once.
        Granted,
        /// The stored answer of an earlier run was replayed.
        Replayed,
        /// The key stands with another body.
        Conflict,
        /// An earlier request with the key runs still, or was interrupted.
        InProgress,
        /// The key is older than the retention of its record.
        Expired,
        /// The table service could not take the claim; nothing was dispatched.
        Unavailable,
        /// The claim was given back: its holder never dispatched.
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

    /// The outcome's name in logs and metric labels.
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
