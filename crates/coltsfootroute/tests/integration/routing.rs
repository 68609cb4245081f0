//! Choice of the upstream.

mod departing;
mod pool_fuzz;
mod scenarios;
