//! Choice of the upstream.

mod pool_fuzz;
mod scenarios;
