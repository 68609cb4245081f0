//! Limit on the request rate of a team.

value_type! {
    /// A bound on requests: over any time, at most `per_s` a second and `burst` on top.
    #[derive(serde::Serialize, serde::Deserialize, schemars::JsonSchema)]
    #[serde(deny_unknown_fields)]
    pub struct RateLimit {
        /// Requests a second; at least 1.
        #[schemars(range(min = 1))]
        pub per_s: u32,
        /// Requests on top that may come at once.
        pub burst: u32,
    }
}
