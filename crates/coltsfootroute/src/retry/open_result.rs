//! Answer to the opening of an account.

value_type! {
    /// Whether an account was opened.
    pub enum OpenResult {
        /// The account is open.
        Opened,
        /// An account of that request is open already and stays as it is.
        AlreadyOpen,
        /// The ledger is full: the request gets no retries.
        Full,
    }
}
