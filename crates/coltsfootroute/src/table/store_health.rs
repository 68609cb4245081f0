//! What an attempt says of the service.

value_type! {
    /// What one attempt showed of the service's health, as a
    /// [`CircuitBreaker`](super::CircuitBreaker) counts it.
    pub enum StoreHealth {
        /// It answered, be it with a conflict or a refusal by its rate limit.
        Answering,
        /// It refused for another reason, failed or gave no answer.
        Failing,
    }
}
