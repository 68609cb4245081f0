//! Response body of a failed operator request.

record_type! {
    /// Body of a 4xx or 503 response to an operator's request for which no other body is defined. Clients
    /// ignore unknown fields.
    #[derive(serde::Serialize, serde::Deserialize)]
    pub struct FailureBody {
        /// Human-readable reason.
        pub reason: String,
        /// Whether the request may have taken effect in spite of the failure, or may still do so.
        #[serde(default)]
        pub may_take_effect: bool,
    }
}
