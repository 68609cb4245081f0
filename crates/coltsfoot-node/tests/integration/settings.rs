//! Settings files: the sample loads, and every fault is named in one answer.

use coltsfoot_node::settings::{ControlMode, NodeSettings, SettingsErrors};
use log::LevelFilter;
use rstest::rstest;

const SAMPLE: &str = include_str!("../../../../samples/node.yaml");

const MINIMAL: &str = r#"
listen: {client: "127.0.0.1:0", host: "127.0.0.1:0", peer: "127.0.0.1:0"}
region: dar
domain: dar-a
store: {table: "127.0.0.1:4700"}
"#;

fn faults(text: &str) -> SettingsErrors {
    NodeSettings::from_yaml(text).unwrap_err()
}

fn fields(errors: &SettingsErrors) -> Vec<&str> {
    errors.errors.iter().map(|error| error.field.as_str()).collect()
}

#[test]
fn sample_loads() {
    let settings = NodeSettings::from_yaml(SAMPLE).unwrap();

    assert_eq!(settings.peers, ["127.0.0.1:4711".parse().unwrap()]);
    assert_eq!(settings.control, ControlMode::On);
    assert_eq!(settings.limits.seed, None);
}

#[test]
fn sample_shows_the_defaults() {
    let sample = NodeSettings::from_yaml(SAMPLE).unwrap();

    let minimal = NodeSettings::from_yaml(MINIMAL).unwrap();

    assert_eq!(minimal.limits, sample.limits);
    assert_eq!(minimal.retries, sample.retries);
    assert_eq!(minimal.scheduling, sample.scheduling);
    assert_eq!(minimal.log, sample.log);
    assert_eq!(minimal.control, sample.control);
    assert_eq!(minimal.store.writes_per_s, sample.store.writes_per_s);
    assert_eq!(minimal.store.reads_per_s, sample.store.reads_per_s);
    assert_eq!(minimal.store.nodes, sample.store.nodes);
    assert_eq!(minimal.store.objects, None);
}

#[test]
fn bare_off_is_understood() {
    let text = format!("{MINIMAL}control: off\nlog: {{level: off}}\n");

    let settings = NodeSettings::from_yaml(&text).unwrap();

    assert_eq!(settings.control, ControlMode::Off);
    assert_eq!(settings.log.level, LevelFilter::Off);
}

#[test]
fn all_faults_come_in_one_answer() {
    let text = r#"
listen: {client: "localhost", host: "127.0.0.1:0", port: 1}
region: Dar Es Salaam
peers: ["127.0.0.1:4711", 7]
store: {objects: "127.0.0.1:0", writes_per_s: 0}
log: {level: loud}
limits: {queue: -1, seed: x}
extra: 1
"#;

    let errors = faults(text);

    let expected = [
        "listen.client",
        "listen.peer",
        "listen.port",
        "region",
        "domain",
        "peers[1]",
        "store.table",
        "store.objects",
        "store.writes_per_s",
        "log.level",
        "limits.queue",
        "limits.seed",
        "extra",
    ];
    assert_eq!(fields(&errors), expected);
}

#[rstest]
#[case("control: maybe", "control: found \"maybe\", expected on or off")]
#[case("limits: {queue: 0}", "limits.queue: found 0, expected a whole number from 1 to 65536")]
#[case("peers: here", "peers: found \"here\", expected a list")]
#[case("surplus: [1]", "surplus: found [1], expected no such field")]
#[case("log: 5", "log: found 5, expected a mapping of fields")]
#[case(
    "limits: {body_bytes: 1048577}",
    "limits.body_bytes: found 1048577, expected a whole number from 1 to 1048576"
)]
#[case(
    "limits: {memory_mb: 15}",
    "limits.memory_mb: found 15, expected a whole number from 16 to 1000000"
)]
#[case(
    "limits: {descriptors: 63}",
    "limits.descriptors: found 63, expected a whole number from 64 to 1048576"
)]
fn a_fault_names_field_value_and_expectation(#[case] line: &str, #[case] message: &str) {
    let errors = faults(&format!("{MINIMAL}{line}\n"));

    assert_eq!(errors.to_string(), message);
}

#[test]
fn a_duplicate_key_does_not_hide_other_faults() {
    let errors = faults(&format!("{MINIMAL}region: dar\nextra: 1\n"));

    assert_eq!(fields(&errors), ["the document", "extra"]);
    assert!(errors.errors[0].found.contains("region"), "{errors}");
}

#[rstest]
#[case("")]
#[case("[1, 2")]
#[case("just text")]
#[case("a: &a [*a, *a]")]
fn no_text_panics_or_loads(#[case] text: &str) {
    let errors = faults(text);

    assert!(!errors.errors.is_empty());
}
