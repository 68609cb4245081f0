//! What varies of a node from platform to platform.

use std::sync::Arc;

use coltsfootroute::admission::ShedPolicy;

use super::{NoFront, RepeatGuard, UpstreamDialect};
use crate::{
    config::ConfigOrigin,
    metrics::NodeMetrics,
    store::{HttpClient, StoreSettings},
};

/// What varies of a node from platform to platform.
pub struct PlatformAdapter<P, F> {
    /// Makes the way to the platform's services, on the thread that uses it.
    pub open_store: fn(&StoreSettings, Arc<NodeMetrics>) -> P,
    /// Serves clients; `None`: the product's own listener does.
    pub front: Option<F>,
    /// Headers between node and upstream.
    pub dialect: UpstreamDialect,
    /// What keeps non-repeatable work from running twice.
    pub repeat_guard: RepeatGuard,
    /// Who accepts configurations.
    pub origin: ConfigOrigin,
    /// What the guard's shed level follows.
    pub shed_policy: ShedPolicy,
}

impl PlatformAdapter<HttpClient, NoFront> {
    /// The product's own interface on every side.
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
