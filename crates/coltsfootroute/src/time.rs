//! Time as the library sees it: always an argument, never read from a clock.

mod monotonic_time;

pub use monotonic_time::MonotonicTime;
