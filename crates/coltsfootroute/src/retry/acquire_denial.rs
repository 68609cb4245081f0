//! Reasons for denying a retry token.

value_type! {
    /// Reason for denying a token.
    pub enum AcquireDenial {
        /// The account was never opened, is closed or has expired.
        UnknownAccount,
        /// All tokens of the request have been acquired.
        BudgetSpent,
        /// The request's deadline has passed.
        DeadlinePassed,
    }
}

impl AcquireDenial {
    /// Returns the denial's name in logs and metric labels.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::UnknownAccount => "unknown-account",
            Self::BudgetSpent => "budget-spent",
            Self::DeadlinePassed => "deadline-passed",
        }
    }
}
