//! Rate limits of teams, enforced over all nodes together.
//!
//! One node owns the credit of a team; all nodes determine it by a hash over the members. Nodes that admit the team's
//! requests prefetch credit from the owner, a fraction of a second's worth at a time, which expires if unused. So every
//! admitted request is charged to one token bucket, and most requests wait for no message.

mod admitted_share;
mod credit_grant;
mod credit_ledger;
mod owner_rank;
mod rate_usage;
mod team_credit;
mod usage_meter;

pub use credit_grant::CreditGrant;
pub use credit_ledger::{CreditLedger, CreditRequest, SETTLING_TIME};
pub use owner_rank::{first_owner, ranked_services};
pub use rate_usage::RateUsage;
pub use team_credit::TeamCredit;
