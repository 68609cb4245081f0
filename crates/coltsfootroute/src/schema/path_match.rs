//! Match of requests to an operation by host and path.

record_type! {
    /// Requests that reach an operation by their host and path, beside `/call/{service}/{operation}`.
    ///
    /// The match with the longest prefix wins. Where operations of several services state the same host and
    /// prefix, requests are shared out among them in proportion to the weights.
    #[derive(serde::Serialize, serde::Deserialize, schemars::JsonSchema)]
    #[serde(deny_unknown_fields)]
    pub struct PathMatch {
        /// Host as the request names it, without a port.
        #[schemars(length(min = 1))]
        pub host: String,
        /// Start of the path; begins and ends with `/`.
        #[schemars(regex(pattern = "^/([^?#]*/)?$"))]
        pub prefix: String,
        /// Share of the requests against the other operations with this host and prefix; at least 1.
        #[serde(default = "one")]
        #[schemars(range(min = 1))]
        pub weight: u32,
    }
}

fn one() -> u32 {
    1
}
