//! Result of opening a retry account.

value_type! {
    /// Result of opening a retry account.
    pub enum OpenResult {
        /// The account was opened.
        Opened,
        /// The request already has an open account, which is unchanged.
        AlreadyOpen,
        /// The ledger is full, so the request gets no retries.
        Full,
    }
}
