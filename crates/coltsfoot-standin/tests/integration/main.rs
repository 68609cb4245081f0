//! Tests of the stand-ins through their public interface.

mod arrivals;
mod http_client;
mod load;
mod loopback;
mod upstream;
mod util;
