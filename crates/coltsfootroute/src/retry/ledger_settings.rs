//! Settings of a ledger.

use std::time::Duration;

record_type! {
    /// Settings of an [`AccountLedger`](super::AccountLedger).
    pub struct LedgerSettings {
        /// Most accounts open at a time; a request beyond gets no retries.
        pub max_accounts: usize,
        /// How long after its deadline an account still answers repeated messages.
        pub expiry_margin: Duration,
    }
}

impl Default for LedgerSettings {
    fn default() -> Self {
        Self { max_accounts: 65_536, expiry_margin: Duration::from_secs(1) }
    }
}

impl LedgerSettings {
    /// Sets the most accounts open at a time.
    pub fn with_max_accounts(mut self, max_accounts: usize) -> Self {
        self.max_accounts = max_accounts;
        self
    }
}
