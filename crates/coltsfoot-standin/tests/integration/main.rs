//! Tests of the stand-ins through their public interface.

mod arrivals;
mod load;
mod upstream;
mod util;
