//! Time types. The library receives the time as an argument and never reads a clock.

mod monotonic_time;
mod suspension_detector;

pub use monotonic_time::MonotonicTime;
pub use suspension_detector::SuspensionDetector;
