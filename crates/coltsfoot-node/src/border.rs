//! Adaptation of a node to its platform: how clients are served, which headers are exchanged with the upstream, how
//! the platform's services are reached, and who accepts configurations.

mod client_front;
mod platform_adapter;
mod repeat_guard;
mod upstream_dialect;
mod upstream_statement;

pub use client_front::{ClientFront, NoFront};
pub use platform_adapter::PlatformAdapter;
pub use repeat_guard::RepeatGuard;
pub use upstream_dialect::{AnswerEcho, NotRunMarker, UpstreamDialect, request_context};
pub use upstream_statement::{StatedLimit, UpstreamStatement};
