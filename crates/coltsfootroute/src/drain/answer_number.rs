//! Number of an answer.

value_type! {
    /// Number of an answer, in the order in which the requests have been read.
    #[derive(Default)]
    pub struct AnswerNumber(pub(super) u64);
}
