//! Points, their fit, and the files and lines that show them.

mod linear_fit;
mod measured_slope;
mod slope_chart;

pub use linear_fit::LinearFit;
pub use measured_slope::MeasuredSlope;
pub use slope_chart::draw;
