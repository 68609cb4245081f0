//! Answer of the owner of a team's credit.

use std::time::Duration;

use super::RateUsage;

value_type! {
    /// Answer of the owner of a team's credit to a [`CreditRequest`](super::CreditRequest).
    pub struct CreditGrant {
        /// Number of requests that may be admitted.
        pub granted: u32,
        /// Time until the owner has credit for any node, if nothing was granted; zero otherwise.
        pub wait: Duration,
        /// Share of the team's rate that the requester may use while no owner answers, in thousandths of a request a
        /// second. The shares of all recent requesters add up to the rate.
        pub share_milli: u32,
        /// How far the team uses its rate over all nodes; `None` if the owner does not report it.
        pub usage: Option<RateUsage>,
    }
}
