//! Health of the table service as indicated by one attempt.

value_type! {
    /// Health of the service as indicated by one attempt; recorded by a [`CircuitBreaker`](super::CircuitBreaker).
    pub enum StoreHealth {
        /// The service answered, possibly with a conflict or with a refusal by its rate limit.
        Answering,
        /// The service refused for another reason, failed or did not answer.
        Failing,
    }
}
