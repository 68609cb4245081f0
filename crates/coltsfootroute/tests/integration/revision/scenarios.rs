//! Runs the scripted scenarios `tests/scenarios/revision-*.txt`.
//!
//! Directives: `submit`, `step`, `run`, `late`, `load`, `delta`, `deliver`, `restart`, `gate`, `show`,
//! `history`. Regenerate the expected output with `REWRITE=1`, then review it.

use super::world::{Delivery, World, submission_request};
use coltsfootroute::{
    id::NodeId,
    revision::{ApplyOutcome, DeltaFault, Revision, SubmissionResult, verify_history},
    table::{TableReply, TableRequest},
};
use datadriven::{DataDrivenError, TestCase, walk_exclusive};
use std::fmt::Write;

#[test]
fn scenarios_hold() {
    let is_other = |file: &datadriven::TestFile| !file.filename.contains("/revision-");
    let run = |file: &mut datadriven::TestFile| {
        let mut world = World::default();
        file.run(|case| execute(&mut world, &mut case.clone()).expect("a known directive"));
    };
    walk_exclusive(concat!(env!("CARGO_MANIFEST_DIR"), "/tests/scenarios"), run, is_other);
}

fn execute(world: &mut World, case: &mut TestCase) -> Result<String, DataDrivenError> {
    let mut text = match case.directive.as_str() {
        "submit" => submit(world, case)?,
        "step" => step(world, case)?,
        "run" => {
            let name: String = case.take_arg("name")?;
            world.run(&name);
            state_of(world, &name)
        }
        "late" => world.deliver_delayed().iter().map(|reply| shown_reply(reply) + "\n").collect(),
        "load" => {
            let node: String = case.take_arg("node")?;
            shown_applied(world.load(&node))
        }
        "delta" => delta(world, case)?,
        "deliver" => {
            let delta = world.deltas[&case.take_arg::<String>("name")?].clone();
            let node: String = case.take_arg("to")?;
            shown_applied(world.node(&node).state.apply_delta(&delta))
        }
        "restart" => {
            world.nodes.shift_remove(&case.take_arg::<String>("node")?);
            "revision 0".to_owned()
        }
        "gate" => gate(world, case)?,
        "show" => {
            let node: String = case.take_arg("node")?;
            shown_state(world, &node)
        }
        "history" => history(world),
        other => panic!("unknown directive {other}"),
    };
    case.expect_empty()?;
    if !text.ends_with('\n') {
        text.push('\n');
    }
    Ok(text)
}

fn submit(world: &mut World, case: &mut TestCase) -> Result<String, DataDrivenError> {
    let name: String = case.take_arg("name")?;
    let operator: String = case.take_arg("operator")?;
    let (key, expected): (String, u64) = (case.take_arg("key")?, case.take_arg("expected")?);
    world.submit(&name, submission_request(&operator, &key, expected, case.input.trim_end()));
    Ok(state_of(world, &name))
}

fn step(world: &mut World, case: &mut TestCase) -> Result<String, DataDrivenError> {
    let name: String = case.take_arg("name")?;
    let delivery = match case.try_take_arg::<String>("fate")?.as_deref() {
        None => Delivery::Delivered,
        Some("down") => Delivery::Down,
        Some("reply-lost") => Delivery::ReplyLost,
        Some("delayed") => Delivery::Delayed,
        Some(other) => panic!("unknown fate {other}"),
    };
    for _ in 0..case.try_take_arg("times")?.unwrap_or(1) {
        world.step(&name, delivery);
    }
    Ok(state_of(world, &name))
}

fn delta(world: &mut World, case: &mut TestCase) -> Result<String, DataDrivenError> {
    let name: String = case.take_arg("name")?;
    let (node, since): (String, u64) = (case.take_arg("from")?, case.take_arg("since")?);
    let Some(delta) = world.node(&node).state.delta_since(Revision(since)) else {
        return Ok("nothing newer".to_owned());
    };
    let mut text = format!("{} to {}:", delta.from, delta.to());
    for change in &delta.changes {
        let sign = if change.service.is_some() { "" } else { "-" };
        write!(text, " {sign}{}", change.name).expect("written to text");
    }
    world.deltas.insert(name, delta);
    Ok(text)
}

fn gate(world: &mut World, case: &mut TestCase) -> Result<String, DataDrivenError> {
    let node: String = case.take_arg("node")?;
    let reported = case.try_take_arg::<u64>("hears")?;
    let port = |peer: u16| NodeId(([127, 0, 0, 1], peer).into());
    let (asks, gives_up) = (case.try_take_arg("asks")?, case.try_take_arg("gives-up")?);
    let peer = case.try_take_arg("peer")?;
    let node = world.node(&node);
    if let Some(peer) = asks {
        node.gate.await_peer(port(peer));
    }
    if let Some(peer) = gives_up {
        node.gate.stop_awaiting(port(peer));
    }
    if let (Some(peer), Some(revision)) = (peer, reported) {
        node.gate.record_peer_revision(port(peer), Revision(revision));
    }
    let is_open = node.gate.try_open(node.state.revision());
    let state = if is_open { "open" } else { "closed" };
    Ok(format!("{state}, holds {}, required {}", node.state.revision(), node.gate.required()))
}

fn history(world: &mut World) -> String {
    let records = world.history();
    let mut text = String::new();
    for record in &records {
        let changed: Vec<_> = record.changed.iter().map(|name| name.as_str()).collect();
        let changed = changed.join(",");
        let (revision, operator, key) = (record.revision, &record.operator, &record.key);
        writeln!(text, "{revision} {operator} {key} {changed}").expect("written to text");
    }
    let verdict =
        verify_history(&records).map_or_else(|fault| fault.to_string(), |()| "verified".into());
    text + &verdict
}

fn state_of(world: &World, name: &str) -> String {
    let runner = &world.runners[name];
    match (&runner.next, &runner.result) {
        (Some(TableRequest::Read(key)), _) => format!("reads {key}"),
        (Some(TableRequest::Transact(_)), _) => "writes".to_owned(),
        (_, Some(result)) => shown_result(result),
        (request, None) => panic!("{request:?}"),
    }
}

fn shown_result(result: &SubmissionResult) -> String {
    match result {
        SubmissionResult::Accepted(record) => format!("accepted as {}", record.revision),
        SubmissionResult::AlreadyAccepted(record) => {
            format!("already accepted as {}", record.revision)
        }
        SubmissionResult::Conflict { current, diff } => {
            let by = current
                .as_ref()
                .map(|record| format!("{} by {}", record.revision, record.operator));
            format!("conflict with {}\n{diff}", by.unwrap_or_else(|| "nothing".to_owned()))
        }
        SubmissionResult::KeyReused(revision) => {
            format!("key stands with another document at {revision}")
        }
        SubmissionResult::Unresolved { may_take_effect } => {
            format!("unresolved, may take effect: {may_take_effect}")
        }
        SubmissionResult::Faulty(fault) => fault.to_string(),
    }
}

fn shown_reply(reply: &TableReply) -> String {
    match reply {
        TableReply::Committed => "took effect".to_owned(),
        TableReply::Conflict(_) => "no effect".to_owned(),
        other => format!("{other:?}"),
    }
}

fn shown_applied(applied: Result<ApplyOutcome, DeltaFault>) -> String {
    match applied {
        Ok(ApplyOutcome::Advanced { revision, changed }) => {
            let changed: Vec<_> = changed.iter().map(|name| name.as_str()).collect();
            format!("raised to {revision}: {}", changed.join(" "))
        }
        Ok(ApplyOutcome::AlreadyHeld) => "already held".to_owned(),
        Err(fault) => fault.to_string(),
    }
}

fn shown_state(world: &mut World, node: &str) -> String {
    let state = &world.node(node).state;
    let mut text = format!("revision {}", state.revision());
    for entry in state.entries() {
        let service = &entry.service;
        write!(text, "\n{} {} since {}", service.name, service.slots, entry.revision)
            .expect("written to text");
    }
    text
}
