//! Why a token was denied.

value_type! {
    /// Why an account gave no token.
    pub enum AcquireDenial {
        /// The account was never opened, is closed or has expired.
        UnknownAccount,
        /// All tokens of the request are taken.
        BudgetSpent,
        /// The request's deadline has passed.
        DeadlinePassed,
    }
}

impl AcquireDenial {
    /// The denial's name in logs and metric labels.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::UnknownAccount => "unknown-account",
            Self::BudgetSpent => "budget-spent",
            Self::DeadlinePassed => "deadline-passed",
        }
    }
}
