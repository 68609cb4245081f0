//! A service's configuration in force.

use super::{ContentDigest, Revision};
use crate::schema::ServiceEntry;
use std::sync::Arc;

record_type! {
    /// One service as a node has it in force. Cheap to clone.
    pub struct ConfigEntry {
        /// A revision not earlier than the last one that changed the service; deltas rely on it.
        pub revision: Revision,
        /// The service.
        pub service: Arc<ServiceEntry>,
        /// Digest of the service.
        pub digest: ContentDigest,
    }
}

impl ConfigEntry {
    /// `service` as last changed at `revision`.
    pub fn new(revision: Revision, service: ServiceEntry) -> Self {
        let digest = ContentDigest::of_service(&service);
        Self { revision, service: Arc::new(service), digest }
    }
}
