//! The upstream that the node's rows speak of.

use coltsfootroute::{membership::InstanceIncarnation, name::ServiceName};

/// The upstream that the node's rows speak of.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct IntroducedUpstream {
    /// Its service.
    pub service: ServiceName,
    /// Its life, if it names itself.
    pub instance: Option<InstanceIncarnation>,
}
