//! What the owner of a team's credit answers.

use std::time::Duration;

value_type! {
    /// What the owner of a team's credit answers.
    pub struct CreditGrant {
        /// Requests that may be taken in.
        pub granted: u32,
        /// Time until there is credit for somebody, where nothing was granted; else zero.
        pub wait: Duration,
        /// Part of the team's rate that the requester may go on with while no owner answers, in thousandths of a request a
        /// second. The parts of all that asked of late add up to the rate.
        pub share_milli: u32,
    }
}
