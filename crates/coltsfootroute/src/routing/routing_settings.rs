//! Settings of an upstream pool.

use std::time::Duration;

record_type! {
    /// Settings of an [`UpstreamPool`](super::UpstreamPool); the defaults are those of the design note.
    pub struct RoutingSettings {
        /// Nodes that call the service, this one included; at least 1.
        pub callers: u32,
        /// Minimum share of an upstream's connections, regardless of the number of callers.
        pub min_share: u32,
        /// Time constant of the latency average and of the share of refusals.
        pub latency_window: Duration,
        /// Factor, in percent, by which the cost of an upstream in the own failure domain may exceed that of one
        /// outside it before a call without time to spare spills over; at least 100.
        ///
        /// Traffic between failure domains is expensive. With a factor of 2, nearly every call with a large body went
        /// to the fastest domain wherever upstreams differed by half in speed. With factors of 3 to 5, traffic between
        /// domains on a day with faults fell from 0.167 GB to 0.120 GB, at the same share of answers in time.
        pub domain_preference_percent: u32,
        /// The same for a call with much time to spare; at least as large as `domain_preference_percent`.
        ///
        /// With a factor of 5 for all calls, traffic between domains fell to 0.103 GB, but a quarter more orders ran
        /// into their deadline.
        pub max_domain_preference_percent: u32,
        /// The same for the own region against other regions; at least 100.
        pub region_preference_percent: u32,
        /// Time over which the weight of a new incarnation, or of one that returns from ejection, ramps up.
        pub slow_start: Duration,
        /// Weight at the beginning of the ramp, in percent; 1 to 100.
        pub slow_start_percent: u32,
        /// Failures in a row that eject an upstream; at least 1.
        pub failures_to_eject: u32,
        /// Multiple of the median latency above which an upstream is ejected as slow; at least 2.
        pub slow_factor: u32,
        /// Samples that an upstream needs in one incarnation before it can be ejected as slow.
        pub samples_to_eject: u64,
        /// Duration of the first ejection; doubles with each ejection that follows a failed trial.
        pub initial_ejection: Duration,
        /// Maximum duration of an ejection.
        pub max_ejection: Duration,
        /// Maximum share of the live upstreams that may be ejected, in percent. One upstream of two or more may
        /// always be ejected, the last one never.
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

    /// Sets one preference for the own failure domain, in percent, regardless of a call's remaining time.
    pub fn with_domain_preference(mut self, percent: u32) -> Self {
        self.domain_preference_percent = percent.max(100);
        self.max_domain_preference_percent = self.domain_preference_percent;
        self
    }

    /// Sets the time over which an upstream's weight ramps up.
    pub fn with_slow_start(mut self, slow_start: Duration) -> Self {
        self.slow_start = slow_start;
        self
    }

    /// Returns the maximum number of upstreams out of `members` that may be ejected at the same time.
    pub fn max_ejected(&self, members: usize) -> usize {
        if members < 2 {
            return 0;
        }
        let share = members * self.ejected_percent as usize / 100;
        share.clamp(1, members - 1)
    }
}
