//! The command from its arguments to its output.

use coltsfoot_timeline::{RunStatus, args::TimelineArgs, run};

use crate::util::{FakeNode, completed, event, event_of};

fn args(line: &[&str]) -> Result<TimelineArgs, clap::Error> {
    let line = [&["coltsfoot-timeline"], line].concat();
    TimelineArgs::command().try_get_matches_from(line).map(|m| TimelineArgs::from_matches(&m))
}

fn run_line(line: &[&str]) -> (RunStatus, String, String) {
    let args = args(line).unwrap();
    let (mut output, mut errors) = (Vec::new(), Vec::new());
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    let status = runtime.block_on(run(&args, &mut output, &mut errors)).unwrap();
    (status, String::from_utf8(output).unwrap(), String::from_utf8(errors).unwrap())
}

#[test]
fn the_definition_is_consistent() {
    TimelineArgs::command().debug_assert();
}

#[test]
fn a_source_is_required() {
    assert_eq!(args(&[]).unwrap_err().exit_code(), 2);
}

#[test]
fn one_request_is_followed_through_the_nodes() {
    let first = FakeNode::new(vec![event(1, 0, 0), event_of(1, 1, 9, completed(7, "renewals"))]);
    let second = FakeNode::new(vec![event_of(2, 0, 5, completed(7, "logbook")), event(2, 1, 6)]);
    let (first, second) = (first.address.to_string(), second.address.to_string());
    let request = format!("{:032x}", 7);

    let (status, output, errors) =
        run_line(&["--node", &first, "--node", &second, "--request", &request]);

    let services: Vec<&str> =
        output.lines().map(|line| line.split("service=").nth(1).unwrap()).collect();
    assert!(services[0].starts_with("logbook "), "{output}");
    assert!(services[1].starts_with("renewals "), "{output}");
    assert_eq!((services.len(), status, errors.as_str()), (2, RunStatus::Complete, ""));
}

#[test]
fn a_node_that_does_not_answer_makes_the_line_partial() {
    let broken = FakeNode::broken().to_string();

    let (status, output, errors) = run_line(&["--node", &broken]);

    assert_eq!(status.exit_code(), 3);
    assert_eq!(output, "");
    assert!(errors.starts_with("level=warn event=node-not-read node="), "{errors}");
}

#[test]
fn what_json_shows_is_read_back_from_a_file() {
    let fake = FakeNode::new(vec![event(1, 2, 0), event(1, 3, 1)]);
    let (_, shown, _) = run_line(&["--node", &fake.address.to_string(), "--format", "json"]);
    let file = std::env::temp_dir().join(format!("coltsfoot-timeline-{}", std::process::id()));
    std::fs::write(&file, &shown).unwrap();

    let (_, read_back, _) = run_line(&["--file", file.to_str().unwrap(), "--format", "json"]);

    std::fs::remove_file(&file).unwrap();
    assert_eq!(read_back, shown);
    assert_eq!(shown.lines().count(), 3, "a gap and two events");
}
