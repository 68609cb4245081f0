//! Implementations of [`ConcurrencyLimit`](super::ConcurrencyLimit).

mod aimd_limit;
mod delay_limit;
mod fixed_limit;
mod gradient_limit;

pub use aimd_limit::AimdLimit;
pub use delay_limit::DelayLimit;
pub use fixed_limit::FixedLimit;
pub use gradient_limit::GradientLimit;

/// Lowest limit as a share of the slots. An upstream is never shut off completely, so there are always calls in
/// flight to measure.
const MIN_LIMIT_SHARE: f64 = 0.1;

/// Returns the lowest limit for `ceiling`, at least 1.
fn min_limit(ceiling: u32) -> f64 {
    (f64::from(ceiling) * MIN_LIMIT_SHARE).max(1.0)
}

/// Rounds a limit down to whole calls, between 1 and the ceiling.
fn whole_calls(limit: f64, ceiling: u32) -> u32 {
    (limit as u32).clamp(1, ceiling)
}
