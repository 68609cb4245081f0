//! Digest of a configuration.

use super::digest_macros::digest_type;
use crate::{
    name::ServiceName,
    schema::{SchemaDocument, ServiceEntry, TeamEntry},
};

digest_type! {
    /// Digest of what a configuration says, whatever the order of its services.
    ///
    /// Of a service: SHA-256 of its compact JSON. Of a whole configuration: SHA-256 of the compact JSON
    /// `[deployment, [[name, digest of the service], …]]`, services in order of their names; where there are teams, a third
    /// entry lists them, in order of theirs.
    ContentDigest
}

impl ContentDigest {
    /// Digest of one service.
    pub fn of_service(service: &ServiceEntry) -> Self {
        Self::of_json(service)
    }

    /// Digest of a whole document.
    pub fn of_document(document: &SchemaDocument) -> Self {
        let digests =
            document.services.iter().map(|service| (&service.name, Self::of_service(service)));
        let mut sorted: Vec<_> = digests.collect();
        sorted.sort();
        let mut teams = document.teams.clone();
        teams.sort_by(|left, right| left.name.cmp(&right.name));
        Self::of_parts(&document.deployment, &sorted, &teams)
    }

    /// Digest of a whole configuration from those of its services and from its teams, both in order of their names.
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
        // Records of text and numbers always have a JSON form.
        Self::of_bytes(&serde_json::to_vec(value).expect("a record with a JSON form"))
    }
}
