//! Kind of an answer of the upstream.

value_type! {
    /// Kind of an answer of the upstream.
    pub enum AnswerKind {
        /// The answer states that the upstream has not run the call.
        NotRun,
        /// Any other answer.
        Ran,
    }
}
