//! Retry accounts, policy and throttle.

mod account_fuzz;
mod scenarios;
mod throttle;
