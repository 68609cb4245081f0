//! What an upstream has stated in its answers, as nodes tell one another.

use super::RequestRate;
use crate::membership::InstanceIncarnation;

record_type! {
    /// What an incarnation of an upstream has stated in its answers, as known to a node.
    pub struct UpstreamNotice {
        /// Incarnation of the upstream.
        pub incarnation: InstanceIncarnation,
        /// Limit that it names; `None` if it names none.
        pub limit: Option<RequestRate>,
        /// Whether it has said that it is leaving; never undone.
        pub is_leaving: bool,
    }
}

impl UpstreamNotice {
    /// Returns whether the upstream is neither limited nor leaving.
    pub fn is_clear(&self) -> bool {
        self.limit.is_none() && !self.is_leaving
    }
}
