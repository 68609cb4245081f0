//! Time as the library sees it: always an argument, never read from a clock.

mod monotonic_time;
mod suspension_detector;

pub use monotonic_time::MonotonicTime;
pub use suspension_detector::SuspensionDetector;
