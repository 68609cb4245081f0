//! Description of the upstream that the node's own rows advertise.

use coltsfootroute::{membership::InstanceIncarnation, name::ServiceName};

/// The upstream that the node's own rows advertise.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct IntroducedUpstream {
    /// Service of the upstream.
    pub service: ServiceName,
    /// Incarnation of the upstream, if it has a name.
    pub instance: Option<InstanceIncarnation>,
}
