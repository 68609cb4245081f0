//! Settings of an upstream pool.

use std::time::Duration;

record_type! {
    /// Settings of an [`UpstreamPool`](super::UpstreamPool); the defaults are those of the design note.
    pub struct RoutingSettings {
        /// Nodes that call the service, this one included; at least 1.
        pub callers: u32,
        /// Least share of an upstream's connections, however many callers there are.
        pub min_share: u32,
        /// Window of the latency average and of the share of refusals.
        pub latency_window: Duration,
        /// How many times worse an upstream of the own failure domain may look than one outside it,
        /// in percent, before a call that has no time to spare spills over; at least 100.
        ///
        /// Bytes between failure domains are dear and serve nobody. With twice nearly every call with a large
        /// body went to the fastest domain wherever upstreams differ by half in speed. Of 0.167 GB between domains
        /// on a day with trouble 0.120 were left with three to five times, at the same share of answers in time.
        pub domain_preference_percent: u32,
        /// The same for a call with much time to spare; at least as great.
        ///
        /// With five times for all calls 0.103 GB were left, but a quarter more orders ended at their deadline.
        pub max_domain_preference_percent: u32,
        /// The same for the own region against other regions; at least 100.
        pub region_preference_percent: u32,
        /// Time over which a new life's weight ramps up.
        pub slow_start: Duration,
        /// Weight at the beginning of the ramp, in percent; 1 to 100.
        pub slow_start_percent: u32,
        /// Failures in a row that eject an upstream; at least 1.
        pub failures_to_eject: u32,
        /// How many times the median latency ejects an upstream as slow; at least 2.
        pub slow_factor: u32,
        /// Samples in one life before an upstream can count as slow.
        pub samples_to_eject: u64,
        /// First ejection; doubles with each ejection that follows a failed trial.
        pub initial_ejection: Duration,
        /// Longest ejection.
        pub max_ejection: Duration,
        /// Most of the pool that may be ejected, in percent. One upstream of two or more may always
        /// be ejected, the last one never.
        pub ejected_percent: u32,
        /// Trial calls in a row that must succeed before an ejected upstream returns; at least 1.
        pub trials_to_return: u32,
    }
}

impl Default for RoutingSettings {
    fn default() -> Self {
        Self {
            callers: 1,
            min_share: 8,
            latency_window: Duration::from_secs(2),
            domain_preference_percent: 300,
            max_domain_preference_percent: 500,
            region_preference_percent: 400,
            slow_start: Duration::from_secs(5),
            slow_start_percent: 20,
            failures_to_eject: 5,
            slow_factor: 10,
            samples_to_eject: 20,
            initial_ejection: Duration::from_secs(1),
            max_ejection: Duration::from_secs(2),
            ejected_percent: 34,
            trials_to_return: 3,
        }
    }
}

impl RoutingSettings {
    /// Sets the number of nodes that call the service.
    pub fn with_callers(mut self, callers: u32) -> Self {
        self.callers = callers.max(1);
        self
    }

    /// Sets the preference for the own failure domain, whatever time a call has.
    pub fn with_domain_preference(mut self, percent: u32) -> Self {
        self.domain_preference_percent = percent.max(100);
        self.max_domain_preference_percent = self.domain_preference_percent;
        self
    }

    /// Sets the time over which a new life's weight ramps up.
    pub fn with_slow_start(mut self, slow_start: Duration) -> Self {
        self.slow_start = slow_start;
        self
    }

    /// Most upstreams of `members` that may be ejected at a time.
    pub fn max_ejected(&self, members: usize) -> usize {
        if members < 2 {
            return 0;
        }
        let share = members * self.ejected_percent as usize / 100;
        share.clamp(1, members - 1)
    }
}
