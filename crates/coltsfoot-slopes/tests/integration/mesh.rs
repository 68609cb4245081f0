//! The mesh and the sample schema that the measurements run on.

use std::time::Duration;

use coltsfoot_slopes::{
    mesh::GossipMesh,
    sample_schema::{DEPTH, changed_schema, operation_name, sample_schema},
};
use coltsfootroute::{
    membership::GossipSettings, name::ServiceName, revision::ContentDigest, schema::SchemaDocument,
};

#[test]
fn nodes_come_to_know_each_other_and_the_end_of_one() {
    let mut mesh = GossipMesh::new(GossipSettings::new(), 1).with_watchers(4, 3, 2);

    mesh.run(Duration::from_secs(60));
    let was_converged = mesh.is_converged();
    let before = mesh.believers(0);
    mesh.leave(0);
    mesh.run(Duration::from_secs(20));

    assert!(was_converged);
    assert_eq!((before, mesh.believers(0)), (6, 0));
    assert!(mesh.traffic().bytes > mesh.traffic().datagrams * 28);
}

#[test]
fn the_sample_schema_is_valid_and_as_deep_as_it_says() {
    let document = sample_schema(490);

    let parsed = SchemaDocument::from_yaml(&document.to_yaml());
    let reached = document.reachable_services(&ServiceName::new("service-0"), &operation_name(0));

    assert_eq!(parsed.as_ref(), Ok(&document));
    assert!(reached.len() >= DEPTH, "{}", reached.len());
}

#[test]
fn a_changed_schema_differs_in_as_many_services() {
    let before = sample_schema(60);

    let after = changed_schema(&before, 3);

    let pairs = before.services.iter().zip(&after.services);
    let changed =
        pairs.filter(|(old, new)| ContentDigest::of_service(old) != ContentDigest::of_service(new));
    assert_eq!(changed.count(), 3);
}
