//! Settings of the retry throttle.

record_type! {
    /// Settings of a [`ServiceThrottle`](super::ServiceThrottle).
    pub struct ThrottleSettings {
        /// Retries earned by calls, in thousandths of a retry for each call.
        pub per_call_thousandths: u64,
        /// Retries earned by time, in thousandths of a retry for each second, so that a service with little traffic
        /// still gets some retries.
        pub per_second_thousandths: u64,
        /// Number of retries that may always be saved up.
        pub burst: u64,
        /// Length of the window in whole seconds. The calls of the window earn the retries that may be sent in it, and
        /// time earns none. Zero disables the window, so that at most the burst is saved up.
        pub window_seconds: u64,
    }
}

impl Default for ThrottleSettings {
    fn default() -> Self {
        Self {
            per_call_thousandths: 100,
            per_second_thousandths: 1_000,
            burst: 20,
            window_seconds: 0,
        }
    }
}
