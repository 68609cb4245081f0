//! Outcome of applying a configuration.

use super::Revision;
use crate::name::ServiceName;

record_type! {
    /// Outcome of applying a document or delta to a [`ConfigState`](super::ConfigState).
    pub enum ApplyOutcome {
        /// A newer revision was put in force.
        Advanced {
            /// Revision now in force.
            revision: Revision,
            /// Services added, changed or removed, in order of their names.
            changed: Vec<ServiceName>,
        },
        /// The state already held this revision or a later one and is unchanged.
        AlreadyHeld,
    }
}
