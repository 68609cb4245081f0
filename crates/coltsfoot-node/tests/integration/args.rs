//! Tests of the command line.

use std::path::PathBuf;

use coltsfoot_node::args::NodeArgs;

#[test]
fn the_definition_is_consistent() {
    NodeArgs::command().debug_assert();
}

#[test]
fn settings_and_check_are_read() {
    let line = ["coltsfoot-node", "--settings", "node.yaml", "--check"];

    let matches = NodeArgs::command().try_get_matches_from(line).unwrap();
    let args = NodeArgs::from_matches(&matches);

    assert_eq!(args, NodeArgs { settings: PathBuf::from("node.yaml"), check: true });
}

#[test]
fn settings_are_required() {
    let error = NodeArgs::command().try_get_matches_from(["coltsfoot-node"]).unwrap_err();

    assert_eq!(error.exit_code(), 2);
}
