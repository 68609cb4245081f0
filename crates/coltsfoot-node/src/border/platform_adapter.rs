//! The platform-specific parts of a node.

use std::sync::Arc;

use coltsfootroute::admission::ShedPolicy;

use super::{NoFront, RepeatGuard, UpstreamDialect};
use crate::{
    config::ConfigOrigin,
    metrics::NodeMetrics,
    store::{HttpClient, StoreSettings},
};

/// The platform-specific parts of a node.
pub struct PlatformAdapter<P, F> {
    /// Opens the client of the platform's services, on the thread that uses it.
    pub open_store: fn(&StoreSettings, Arc<NodeMetrics>) -> P,
    /// Front that serves clients; `None` if the native listener does.
    pub front: Option<F>,
    /// Headers used between node and upstream.
    pub dialect: UpstreamDialect,
    /// Mechanism that keeps non-repeatable work from running twice.
    pub repeat_guard: RepeatGuard,
    /// Origin of accepted configurations.
    pub origin: ConfigOrigin,
    /// Policy that sets the guard's shed level.
    pub shed_policy: ShedPolicy,
}

impl PlatformAdapter<HttpClient, NoFront> {
    /// Creates an adapter with the native interface for clients, upstream, store and configuration.
    pub fn own() -> Self {
        Self {
            open_store: HttpClient::new,
            front: None,
            dialect: UpstreamDialect::own(),
            repeat_guard: RepeatGuard::Claims,
            origin: ConfigOrigin::Submitted,
            shed_policy: ShedPolicy::Refusals,
        }
    }
}
