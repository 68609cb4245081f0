//! Settings of the retry account ledger.

use std::time::Duration;

record_type! {
    /// Settings of an [`AccountLedger`](super::AccountLedger).
    pub struct LedgerSettings {
        /// Maximum number of open accounts; further requests get no retries.
        pub max_accounts: usize,
        /// Time after its deadline for which an account still answers repeated messages.
        pub expiry_margin: Duration,
    }
}

impl Default for LedgerSettings {
    fn default() -> Self {
        Self { max_accounts: 65_536, expiry_margin: Duration::from_secs(1) }
    }
}

impl LedgerSettings {
    /// Sets the maximum number of open accounts.
    pub fn with_max_accounts(mut self, max_accounts: usize) -> Self {
        self.max_accounts = max_accounts;
        self
    }
}
