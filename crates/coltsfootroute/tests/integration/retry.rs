//! Retry accounts, policy and throttle.

mod account_fuzz;
mod guard_roster;
mod rejecting_service;
mod scenarios;
mod shared_bound;
mod throttle;
