//! Body of a failure.

record_type! {
    /// Answer 4xx or 503 to an operator's RPC, where no other body is defined. Clients
    /// ignore fields that they don't know.
    #[derive(serde::Serialize, serde::Deserialize)]
    pub struct FailureBody {
        /// Why, in words.
        pub reason: String,
        /// Whether the request may have taken effect all the same, or may still do so.
        #[serde(default)]
        pub may_take_effect: bool,
    }
}
