//! Settings of a ledger.

use std::time::Duration;

record_type! {
    /// Settings of an [`AccountLedger`](super::AccountLedger).
    pub struct LedgerSettings {
        /// Most accounts open at a time; a request beyond gets no retries.
        pub most_accounts: usize,
        /// How long after its deadline an account still answers repeated messages.
        pub expiry_margin: Duration,
    }
}

impl Default for LedgerSettings {
    fn default() -> Self {
        Self { most_accounts: 65_536, expiry_margin: Duration::from_secs(1) }
    }
}

impl LedgerSettings {
    /// Sets the most accounts open at a time.
    pub fn with_most_accounts(mut self, most_accounts: usize) -> Self {
        self.most_accounts = most_accounts;
        self
    }
}
