//! Change of one service in a delta.

use super::Revision;
use crate::{name::ServiceName, schema::ServiceEntry};

record_type! {
    /// Change of one service in a delta.
    #[derive(serde::Serialize, serde::Deserialize)]
    #[serde(deny_unknown_fields)]
    pub struct EntryChange {
        /// Name of the service.
        pub name: ServiceName,
        /// Revision that changed or removed the service.
        pub revision: Revision,
        /// Declaration of the service; `None` (a tombstone) if it was removed.
        pub service: Option<ServiceEntry>,
    }
}
