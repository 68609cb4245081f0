//! What a node's own rows tell.

use coltsfootroute::{membership::InstanceIncarnation, name::ServiceName};

use super::IntroducedUpstream;

/// What a node's own rows tell.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) enum OwnRows {
    /// Nothing.
    #[default]
    Nothing,
    /// The upstream is there.
    Serving(IntroducedUpstream),
    /// The upstream has said itself that it leaves.
    Departed(InstanceIncarnation),
}

impl OwnRows {
    /// Service under which others find the node.
    pub(super) fn service(&self) -> Option<&ServiceName> {
        match self {
            Self::Serving(upstream) => Some(&upstream.service),
            Self::Nothing | Self::Departed(_) => None,
        }
    }

    /// Whether the leave of this life, or of a later one of its name, is told.
    pub(super) fn records_leave(&self, incarnation: &InstanceIncarnation) -> bool {
        matches!(self, Self::Departed(departed) if departed.name == incarnation.name && incarnation.started <= departed.started)
    }
}
