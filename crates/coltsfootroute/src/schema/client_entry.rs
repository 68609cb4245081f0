//! Settings of client requests to an operation.

use crate::importance::Importance;

record_type! {
    /// Present where clients may call the operation; sets what the whole client request gets.
    #[derive(serde::Serialize, serde::Deserialize, schemars::JsonSchema)]
    #[serde(deny_unknown_fields)]
    pub struct ClientEntry {
        /// Importance of every call the request causes.
        pub importance: Importance,
        /// Deadline where the client states none, and the most it may state; milliseconds.
        #[schemars(range(min = 1))]
        pub deadline_ms: u64,
        /// Retries granted to the whole request, over all its calls and however deep; 0 forbids them.
        pub retry_budget: u32,
        /// Whether clients need no key, where the schema declares teams.
        #[serde(default, skip_serializing_if = "is_false")]
        pub keyless: bool,
        /// Time within which an answer is of full use to the client; milliseconds. Absent where a later one is as good.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        #[schemars(range(min = 1))]
        pub objective_ms: Option<u64>,
    }
}

// `skip_serializing_if` requires a function that takes a reference.
#[allow(clippy::trivially_copy_pass_by_ref)]
fn is_false(flag: &bool) -> bool {
    !flag
}
