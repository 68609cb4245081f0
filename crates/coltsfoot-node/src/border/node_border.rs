//! What varies of a node from platform to platform.

use std::sync::Arc;

use super::{ClientFront, NoFront, RepeatGuard, UpstreamDialect};
use crate::{
    config::ConfigOrigin,
    metrics::NodeMetrics,
    store::{HttpClient, StorePort, StoreSettings},
};

/// What varies of a node from platform to platform.
pub struct NodeBorder<P, F> {
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
}

impl NodeBorder<HttpClient, NoFront> {
    /// The product's own interface on every side.
    pub fn own() -> Self {
        Self {
            open_store: HttpClient::new,
            front: None,
            dialect: UpstreamDialect::own(),
            repeat_guard: RepeatGuard::Claims,
            origin: ConfigOrigin::Submitted,
        }
    }
}

impl<P: StorePort + 'static, F: ClientFront> NodeBorder<P, F> {
    /// Serves clients by `front`.
    pub fn with_front<G: ClientFront>(self, front: G) -> NodeBorder<P, G> {
        let Self { open_store, front: _, dialect, repeat_guard, origin } = self;
        NodeBorder { open_store, front: Some(front), dialect, repeat_guard, origin }
    }
}
