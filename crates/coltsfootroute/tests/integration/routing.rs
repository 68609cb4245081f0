//! Choice of the upstream.

mod departing;
mod domain_preference;
mod pool_fuzz;
mod scenarios;
