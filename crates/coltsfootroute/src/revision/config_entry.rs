//! Configuration of one service that a node has in force.

use super::{ContentDigest, Revision};
use crate::schema::ServiceEntry;
use std::sync::Arc;

record_type! {
    /// Configuration of one service that a node has in force. Cheap to clone.
    pub struct ConfigEntry {
        /// Upper bound of the last revision that changed the service; deltas select changes by it.
        pub revision: Revision,
        /// Declaration of the service.
        pub service: Arc<ServiceEntry>,
        /// Digest of the service.
        pub digest: ContentDigest,
    }
}

impl ConfigEntry {
    /// Creates an entry for `service`, last changed at `revision`.
    pub fn new(revision: Revision, service: ServiceEntry) -> Self {
        let digest = ContentDigest::of_service(&service);
        Self { revision, service: Arc::new(service), digest }
    }
}
