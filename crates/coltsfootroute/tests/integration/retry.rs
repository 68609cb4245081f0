//! Retry accounts, policy and throttle.

mod account_fuzz;
mod rejecting_service;
mod scenarios;
mod throttle;
