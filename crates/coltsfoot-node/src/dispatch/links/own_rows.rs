//! Content of a node's own rows.

use coltsfootroute::{membership::InstanceIncarnation, name::ServiceName};

use super::IntroducedUpstream;

/// Content of a node's own rows.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) enum OwnRows {
    /// No rows.
    #[default]
    Nothing,
    /// The upstream is serving.
    Serving(IntroducedUpstream),
    /// The upstream has announced that it leaves.
    Departed(InstanceIncarnation),
}

impl OwnRows {
    /// Returns the service under which other nodes find this node, if any.
    pub(super) fn service(&self) -> Option<&ServiceName> {
        match self {
            Self::Serving(upstream) => Some(&upstream.service),
            Self::Nothing | Self::Departed(_) => None,
        }
    }
}
