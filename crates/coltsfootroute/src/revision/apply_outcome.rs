//! Outcome of applying a configuration.

use super::Revision;
use crate::name::ServiceName;

record_type! {
    /// What a document or delta did to a [`ConfigState`](super::ConfigState).
    pub enum ApplyOutcome {
        /// The revision rose.
        Advanced {
            /// Revision now in force.
            revision: Revision,
            /// Services added, changed or removed, in order of their names.
            changed: Vec<ServiceName>,
        },
        /// The state already held this revision or a later one; nothing changed.
        AlreadyHeld,
    }
}
