//! Digest of the content of a configuration.

use super::digest_macros::digest_type;
use crate::{
    name::ServiceName,
    schema::{SchemaDocument, ServiceEntry, TeamEntry},
};

digest_type! {
    /// Digest of the content of a configuration, independent of the order of its services and teams.
    ///
    /// For a service: SHA-256 of its compact JSON. For a whole configuration: SHA-256 of the compact JSON
    /// `[deployment, [[name, digest of the service], …]]`, with services sorted by name. If there are teams, a
    /// third entry lists them, sorted by name.
    ContentDigest
}

impl ContentDigest {
    /// Returns the digest of one service.
    pub fn of_service(service: &ServiceEntry) -> Self {
        Self::of_json(service)
    }

    /// Returns the digest of a whole document.
    pub fn of_document(document: &SchemaDocument) -> Self {
        let digests =
            document.services.iter().map(|service| (&service.name, Self::of_service(service)));
        let mut sorted: Vec<_> = digests.collect();
        sorted.sort();
        let mut teams = document.teams.clone();
        teams.sort_by(|left, right| left.name.cmp(&right.name));
        Self::of_parts(&document.deployment, &sorted, &teams)
    }

    /// Returns the digest of a whole configuration, computed from the digests of its services and from its teams, both
    /// sorted by name.
    pub(super) fn of_parts(
        deployment: &str,
        services: &[(&ServiceName, Self)],
        teams: &[TeamEntry],
    ) -> Self {
        if teams.is_empty() {
            return Self::of_json(&(deployment, services));
        }
        Self::of_json(&(deployment, services, teams))
    }

    fn of_json(value: &impl serde::Serialize) -> Self {
        // Serialisation can't fail: the records contain only text and numbers.
        Self::of_bytes(
            &serde_json::to_vec(value).expect("records of text and numbers serialise to JSON"),
        )
    }
}
