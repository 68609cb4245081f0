//! Where a node meets its surroundings, as far as platforms differ: how clients are served, what an upstream
//! is told in headers, how the platform's services are reached, who accepts configurations.

mod client_front;
mod platform_adapter;
mod repeat_guard;
mod upstream_dialect;

pub use client_front::{ClientFront, NoFront};
pub use platform_adapter::PlatformAdapter;
pub use repeat_guard::RepeatGuard;
pub use upstream_dialect::{NotRunMarker, UpstreamDialect, request_context};
