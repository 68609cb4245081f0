//! Retry accounts, retry policy and throttle.

mod account_fuzz;
mod arrival_counter;
mod connection_trust;
mod guard_tracker;
mod rejecting_service;
mod scenarios;
mod shared_bound;
mod throttle;
