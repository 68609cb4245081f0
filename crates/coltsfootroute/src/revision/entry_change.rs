//! One service of a delta.

use super::Revision;
use crate::{name::ServiceName, schema::ServiceEntry};

record_type! {
    /// One service of a delta.
    #[derive(serde::Serialize, serde::Deserialize)]
    #[serde(deny_unknown_fields)]
    pub struct EntryChange {
        /// Name of the service.
        pub name: ServiceName,
        /// Revision that changed or removed it.
        pub revision: Revision,
        /// The service; `None` is a tombstone: the service was removed.
        pub service: Option<ServiceEntry>,
    }
}
