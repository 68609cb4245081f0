//! A header of a stored answer.

record_type! {
    /// A header of the upstream's answer, replayed with the answer.
    #[derive(serde::Serialize, serde::Deserialize)]
    #[serde(deny_unknown_fields)]
    pub struct AnswerHeader {
        /// Name, in lower case.
        pub name: String,
        /// Value.
        pub value: String,
    }
}
