//! Each command against canned answers and files: what is sent, what is printed, how it ends.

use crate::fake_node::FakeNode;
use coltsfootctl::{
    ControlError, ExitCode, Invocation, OutputFormat, Report, arguments, digest_key, run,
};
use coltsfootroute::{
    name::{OperatorName, ServiceName},
    revision::{
        ChainDigest, ConflictBody, ContentDigest, Revision, RevisionDraft, RevisionRecord,
        SubmissionKey,
    },
    schema::{SchemaDiff, SchemaDocument},
};
use rstest::rstest;

const ANGA: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../../samples/anga.yaml");
const BALDOSA: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../../samples/baldosa.yaml");

fn control(arguments_given: &[&str]) -> Report {
    let matches = arguments()
        .try_get_matches_from(["coltsfootctl"].iter().chain(arguments_given))
        .expect("the command line is right");
    let invocation = Invocation::from_matches(&matches);
    run(&invocation).unwrap_or_else(|error| Report::of_error(&invocation, &error))
}

/// Runs a command against a node that answers so; the request it got comes back too.
fn control_node(command: &[&str], head: &str, body: &str) -> (Report, String) {
    let node = FakeNode::new(head, body);
    let address = node.address.to_string();
    let report = control(&[command, &["--node", &address]].concat());
    (report, node.request())
}

fn document(path: &str) -> SchemaDocument {
    SchemaDocument::from_yaml(&std::fs::read_to_string(path).expect("a sample")).expect("valid")
}

fn records(length: u64) -> Vec<RevisionRecord> {
    let mut records: Vec<RevisionRecord> = Vec::new();
    for index in 0..length {
        let draft = RevisionDraft {
            content: ContentDigest::of_document(&document(ANGA)),
            operator: OperatorName::new("amina"),
            wall_ms: 1_700_000_000_000,
            key: SubmissionKey::new("k"),
            changed: vec![ServiceName::new("licences")],
        };
        let parent = records.last().map_or(ChainDigest::ROOT, |record| record.chain);
        records.push(RevisionRecord::new(Revision(index), parent, draft));
    }
    records
}

fn json(value: &impl serde::Serialize) -> String {
    serde_json::to_string(value).expect("JSON")
}

/// Verifies `records` from a file of the test called `name`.
fn verify_file(name: &str, records: &[RevisionRecord], more: &[&str]) -> Report {
    let path = format!("{}/{name}.json", env!("CARGO_TARGET_TMPDIR"));
    std::fs::write(&path, json(&records)).expect("written");
    control(&[&["schema", "history", "--verify", "--file", &path], more].concat())
}

#[test]
fn the_command_line_is_consistent() {
    arguments().debug_assert();
}

#[rstest]
#[case::no_command(&[])]
#[case::no_node(&["status"])]
#[case::no_number(&["schema", "submit", "f", "--node", "127.0.0.1:1", "--operator", "a", "--expect", "x"])]
#[case::host_name(&["status", "--node", "localhost:1"])]
#[case::two_sources(&["schema", "history", "--node", "127.0.0.1:1", "--file", "f"])]
fn a_wrong_command_line_is_refused(#[case] given: &[&str]) {
    let error = arguments().try_get_matches_from(["coltsfootctl"].iter().chain(given));

    assert_eq!(error.expect_err("refused").exit_code(), ExitCode::Usage.number());
}

#[test]
fn check_accepts_a_sample() {
    let report = control(&["schema", "check", ANGA]);

    assert_eq!(report.code, ExitCode::Done);
    assert!(report.output.contains("deployment anga, 4 services"), "{}", report.output);
}

#[test]
fn check_lists_the_faults() {
    let path = format!("{}/faulty.yaml", env!("CARGO_TARGET_TMPDIR"));
    std::fs::write(&path, "deployment: A\nservices: []\nextra: 1\n").expect("written");

    let report = control(&["schema", "check", &path, "--output", "json"]);

    assert_eq!(report.code, ExitCode::Invalid);
    assert!(
        report.complaint.starts_with("line 1, column 13: deployment: bad name"),
        "{}",
        report.complaint
    );
    let value: serde_json::Value = serde_json::from_str(&report.output).expect("JSON");
    assert_eq!(value["errors"][1]["line"], 3);
}

const SUBMIT: [&str; 7] = ["schema", "submit", ANGA, "--operator", "amina", "--expect", "4"];

#[test]
fn submit_sends_the_file_and_shows_the_record() {
    let record = &records(5)[4];

    let (report, request) = control_node(&SUBMIT, "200 OK", &json(record));
    let (_, again) = control_node(&SUBMIT, "200 OK", &json(record));

    assert_eq!(report.code, ExitCode::Done, "{}", report.complaint);
    assert!(
        report.output.starts_with("accepted as revision 5 at 2023-11-14T22:13:20Z\n"),
        "{}",
        report.output
    );
    assert!(request.starts_with("PUT /schema HTTP/1.1\r\n"), "{request}");
    assert!(
        request.contains("if-match: 4\r\n") && request.contains("coltsfoot-operator: amina\r\n")
    );
    assert!(request.ends_with(&std::fs::read_to_string(ANGA).expect("a sample")));
    let key = |request: &str| {
        request
            .lines()
            .find(|line| line.starts_with("idempotency-key: amina-4-"))
            .map(str::to_owned)
    };
    assert!(
        key(&request).is_some() && key(&request) == key(&again),
        "a repeated command keeps its key"
    );
}

#[test]
fn a_conflict_shows_what_the_other_operator_changed() {
    let (old, mut new) = (document(ANGA), document(ANGA));
    new.services[0].slots = 40;
    let body = ConflictBody {
        reason: "revision 4 was expected".to_owned(),
        current: records(5).pop(),
        diff: SchemaDiff::between(&old, &new),
    };

    let (report, _) = control_node(&SUBMIT, "409 Conflict", &json(&body));

    let expected = "not accepted: revision 4 was expected\n\
                    the newest revision is 5, submitted by amina\n\
                    changed since the revision expected:\n\
                    changed service licences.slots: 30 to 40\n";
    assert_eq!((report.code, report.complaint.as_str()), (ExitCode::Conflict, expected));
}

#[rstest]
#[case::invalid("422 Unprocessable Content",
    r#"{"errors":[{"line":3,"column":5,"field":"services[0].slots","message":"0: expected at least 1"}]}"#,
    ExitCode::Invalid, "line 3, column 5: services[0].slots: 0: expected at least 1")]
#[case::store_down(
    "503 Service Unavailable",
    r#"{"reason":"table service down","may_take_effect":true}"#,
    ExitCode::Unavailable,
    "the node answers 503: table service down"
)]
#[case::bare_conflict(
    "409 Conflict",
    r#"{"reason":"key reused","outcome":"not-run"}"#,
    ExitCode::Conflict,
    "not accepted: key reused\n"
)]
#[case::plain_text("400 Bad Request", "no key", ExitCode::Failed, "the node answers 400: no key")]
#[case::no_record("200 OK", "{}", ExitCode::Failed, "the node's answer 200 isn't understood")]
fn a_refusal_gives_its_exit_code(
    #[case] head: &str,
    #[case] body: &str,
    #[case] code: ExitCode,
    #[case] complaint: &str,
) {
    let (report, _) = control_node(&SUBMIT, head, body);

    assert_eq!(report.code, code);
    assert!(report.complaint.starts_with(complaint), "{}", report.complaint);
}

#[test]
fn an_absent_node_is_unavailable() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address").to_string();
    drop(listener);

    let report = control(&["status", "--node", &address]);

    assert_eq!(report.code, ExitCode::Unavailable);
    assert!(report.complaint.contains("repeat it unchanged"), "{}", report.complaint);
}

#[test]
fn an_answer_cut_short_is_no_answer() {
    let (report, _) = control_node(&["status"], "200 OK\r\ntransfer-encoding: chunked", "");

    assert_eq!(report.code, ExitCode::Unavailable, "{}", report.output);
}

#[test]
fn show_prints_document_and_revision() {
    let yaml = document(ANGA).to_yaml();

    let (table, _) = control_node(&["schema", "show"], "200 OK\r\netag: \"7\"", &yaml);
    let (value, _) =
        control_node(&["schema", "show", "--output", "json"], "200 OK\r\netag: \"7\"", &yaml);

    assert_eq!(table.output, format!("# revision 7\n{yaml}"));
    let value: serde_json::Value = serde_json::from_str(&value.output).expect("JSON");
    assert_eq!((&value["revision"], &value["document"]["deployment"]), (&7.into(), &"anga".into()));
}

#[test]
fn history_shows_records() {
    let (report, _) = control_node(&["schema", "history"], "200 OK", &json(&records(2)));

    let lines: Vec<_> = report.output.lines().collect();
    assert!(lines[0].starts_with("REVISION  TIME"), "{}", report.output);
    assert!(lines[2].starts_with("2         2023-11-14T22:13:20Z  amina"), "{}", report.output);
}

#[test]
fn a_history_is_verified_offline() {
    let whole = records(3);
    let mut altered = whole.clone();
    altered[1].operator = OperatorName::new("juma");
    let digest = |index: usize| whole[index].chain.to_string();

    let codes = [
        verify_file("whole", &whole, &["--contains", &digest(1)]).code,
        verify_file("altered", &altered, &[]).code,
        verify_file("cut", &whole[..2], &["--contains", &digest(2)]).code,
        verify_file("part", &whole[1..], &[]).code,
        verify_file("anchored", &whole[1..], &["--contains", &digest(0)]).code,
        verify_file("gap", &[whole[0].clone(), whole[2].clone()], &[]).code,
    ];

    let (done, untrusted) = (ExitCode::Done, ExitCode::Untrusted);
    assert_eq!(codes, [done, untrusted, untrusted, ExitCode::PartlyVerified, done, untrusted]);
}

#[test]
fn diff_compares_files_and_nodes() {
    let mut other = document(BALDOSA);
    other.services[3].slots = 36;

    let files = control(&["schema", "diff", ANGA, ANGA]);
    let (node, _) = control_node(&["schema", "diff", BALDOSA], "200 OK", &other.to_yaml());

    assert_eq!(files.output, "no difference\n");
    assert_eq!(node.output, "changed service fletes.slots: 36 to 35\n", "{}", node.complaint);
}

#[test]
fn status_and_drain_show_members_with_control_characters_escaped() {
    let body = "{\"revision\":3,\"upstream\":{\"state\":\"up\\u001b[2J\"}}";

    let (status, _) = control_node(&["status"], "200 OK", body);
    let (drain, request) = control_node(&["drain"], "202 Accepted", "");

    assert_eq!(status.output, "revision        3\nupstream.state  up\\u{1b}[2J\n");
    assert_eq!(drain.output, "state  draining\n");
    assert!(request.starts_with("POST /drain HTTP/1.1\r\n"), "{request}");
}

#[test]
fn events_come_one_a_line() {
    let body = "{\"kind\":\"admitted\",\"service\":\"logbook\"}\n{\"kind\":\"refused\"}\n";

    let (table, _) = control_node(&["events"], "200 OK", body);
    let (raw, _) = control_node(&["events", "--output", "json"], "200 OK", body);

    assert_eq!(table.output, "kind=admitted service=logbook\nkind=refused\n");
    assert_eq!(raw.output, body);
}

#[rstest]
#[case::bash("bash")]
#[case::zsh("zsh")]
#[case::fish("fish")]
fn completions_name_the_commands(#[case] shell: &str) {
    let report = control(&["completions", shell]);

    assert!(report.output.contains("history"), "{}", report.output);
}

#[rstest]
#[case::plain("test")]
#[case::with_a_line_end("test\n")]
fn a_key_is_printed_as_its_digest_alone(#[case] input: &str) {
    let report = digest_key(OutputFormat::Table, input.as_bytes()).expect("a key");

    let digest = "9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08\n";
    assert_eq!((report.output.as_str(), report.complaint.as_str()), (digest, ""));
}

#[rstest]
#[case::nothing("")]
#[case::a_line_end("\n")]
#[case::a_whole_file(&"k".repeat(5_000))]
fn what_cannot_be_a_key_has_no_digest(#[case] input: &str) {
    let error = digest_key(OutputFormat::Json, input.as_bytes()).expect_err("no key");

    assert!(matches!(error, ControlError::Key));
    assert_eq!(error.code(), ExitCode::Failed);
}

#[test]
fn a_schema_with_teams_is_checked_and_shows_digests_only() {
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/../../samples/teams.yaml");

    let report = control(&["schema", "check", path]);

    assert_eq!(report.code, ExitCode::Done, "{}", report.complaint);
    assert!(report.output.contains("1 services, 2 teams"), "{}", report.output);
}
