//! Rate limits of teams, over all nodes together.
//!
//! One node owns the credit of a team: the first of a group that all agree on by a hash. Nodes that take the team's
//! requests in ask it for credit ahead of need, a fraction of a second's worth at a time, which lapses. So every request
//! that enters is paid for from one bucket, and most wait for nothing.

mod credit_grant;
mod credit_ledger;
mod owner_rank;
mod team_credit;

pub use credit_grant::CreditGrant;
pub use credit_ledger::{CreditLedger, CreditRequest, SETTLING_TIME};
pub use owner_rank::{first_owner, ranked_services};
pub use team_credit::TeamCredit;
