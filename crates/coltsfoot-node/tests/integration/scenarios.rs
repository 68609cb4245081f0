//! Runs the scenarios `tests/scenarios/*.txt` against whole nodes. README.md beside them lists the
//! commands.

use std::{error::Error, net::SocketAddr, path::PathBuf, str::FromStr, time::Duration};

use datadriven::TestCase;
use indexmap::IndexMap;
use rstest::rstest;

use crate::util::{
    caller::{PlannedCall, until},
    load_loop::{LoadLoop, LoadPlan, false_reports, kinds},
    raw_peer::send_raw,
    test_node::NodePlan,
    world::World,
};

/// Mean time of a run where a scenario sets none, in milliseconds.
const SERVICE_TIME_MS: u64 = 2;
/// Writes a second of a node where a scenario sets none.
const WRITES_PER_S: u64 = 200;
/// Notice of a planned stop where a scenario sets none, in milliseconds.
const NOTICE_MS: u64 = 500;

#[rstest]
fn scenario_holds(#[files("tests/scenarios/*.txt")] path: PathBuf) {
    let mut world = World::new();

    datadriven::walk(path.to_str().expect("UTF-8"), |file| {
        file.run(|case| {
            let output = obey(&mut world, case);
            case.expect_empty().expect("unknown argument");
            output + "\n"
        });
    });
}

fn obey(world: &mut World, case: &mut TestCase) -> String {
    match case.directive.as_str() {
        "node" => start_node(world, case),
        "submit" => submit(world, case),
        "submit-both" => submit_both(world, case),
        "call" => call(world, case),
        "start-call" => start_call(world, case),
        "await-call" => await_call(world, &take::<String>(case, "id")),
        "drop-call" => drop_call(world, &take::<String>(case, "id")),
        "load" => start_load(world, case),
        "stop-load" => stop_load(world, case),
        "raw" => raw(world, case),
        "fault" => fault(world, case),
        "runs" => runs(world, case),
        "new-runs" => {
            let time = Duration::from_millis(take(case, "ms"));
            world.new_runs(&name(case), time).to_string()
        }
        "wait" => wait(world, case),
        "stop-upstream" => world.stop_upstream(&name(case)),
        "start-upstream" => start_upstream(world, case),
        "leave" => {
            world.leave(&name(case));
            ok()
        }
        "stop" => {
            world.begin_stop(&name(case));
            ok()
        }
        "await-stop" => if_ended(world.end_stop(&name(case))),
        "kill" => {
            world.node_mut(&name(case)).kill();
            ok()
        }
        "pause" | "resume" => {
            world.node(&name(case)).pause(case.directive == "pause");
            ok()
        }
        "restart" => {
            world.node_mut(&name(case)).restart();
            ok()
        }
        "status" => status(world, case),
        other => panic!("unknown command {other}"),
    }
}

fn ok() -> String {
    "ok".to_owned()
}

fn if_ended(ended: bool) -> String {
    if ended { "ended well" } else { "ENDED BADLY" }.to_owned()
}

fn take<T>(case: &mut TestCase, name: &str) -> T
where
    T: FromStr<Err: Error + Send + Sync + 'static>,
{
    case.take_arg(name).unwrap_or_else(|err| panic!("argument {name}: {err}"))
}

fn try_take<T>(case: &mut TestCase, name: &str) -> Option<T>
where
    T: FromStr<Err: Error + Send + Sync + 'static>,
{
    case.try_take_arg(name).unwrap_or_else(|err| panic!("argument {name}: {err}"))
}

fn name(case: &mut TestCase) -> String {
    take(case, "node")
}

fn names(case: &mut TestCase) -> Vec<String> {
    case.take_args("node").expect("names of nodes")
}

fn start_node(world: &mut World, case: &mut TestCase) -> String {
    let plan = NodePlan {
        domain: try_take(case, "domain").unwrap_or_else(|| "dar-a".to_owned()),
        notice_ms: try_take(case, "notice-ms").unwrap_or(NOTICE_MS),
        writes_per_s: try_take(case, "writes-per-s").unwrap_or(WRITES_PER_S),
        is_process: case.take_flag("process").expect("flag"),
        ..NodePlan::new()
    };
    let node = name(case);
    world.start_node(&node, plan);
    if let Some(service) = try_take::<String>(case, "service") {
        start_beside(world, case, &node, &service);
    }
    ok()
}

fn start_upstream(world: &mut World, case: &mut TestCase) -> String {
    let (node, service) = (name(case), take::<String>(case, "service"));
    start_beside(world, case, &node, &service);
    ok()
}

fn start_beside(world: &mut World, case: &mut TestCase, node: &str, service: &str) {
    let time_ms = try_take(case, "time-ms").unwrap_or(SERVICE_TIME_MS);
    match try_take::<String>(case, "stub") {
        Some(mode) => world.start_stub(node, service, &mode),
        None => world.start_upstream(node, service, Duration::from_millis(time_ms)),
    }
}

fn submit(world: &mut World, case: &mut TestCase) -> String {
    let schema = try_take(case, "schema").unwrap_or_else(|| "chain".to_owned());
    let mut headers = vec![("if-match".to_owned(), take::<String>(case, "if-match"))];
    headers.push(("idempotency-key".to_owned(), take(case, "key")));
    headers.extend(try_take(case, "operator").map(|name| ("coltsfoot-operator".to_owned(), name)));
    world.submit(&name(case), &schema, &headers)
}

/// Two operators submit different schemas at the same moment, at the first and the last node named.
fn submit_both(world: &mut World, case: &mut TestCase) -> String {
    let (nodes, if_match) = (names(case), take::<String>(case, "if-match"));
    let submissions = ["asha", "juma"].map(|operator| {
        let key = format!("{operator}-{if_match}");
        [("if-match", &*if_match), ("idempotency-key", &key), ("coltsfoot-operator", operator)]
            .map(|(name, value)| (name.to_owned(), value.to_owned()))
    });
    let (first, last) = (nodes.first().expect("a node"), nodes.last().expect("a node"));
    let world = &*world;
    let mut answers = std::thread::scope(|scope| {
        let other = scope.spawn(|| world.submit(first, "chain", &submissions[0]));
        [world.submit(last, "chain-smaller", &submissions[1]), other.join().expect("a submission")]
    });
    answers.sort();
    // Who comes first varies; that one is accepted and one is shown what changed does not.
    let heads = answers.iter().map(|answer| answer.split(" operator").next().unwrap_or_default());
    heads.map(|head| head.lines().next().unwrap_or_default()).collect::<Vec<_>>().join("\n")
}

fn planned(case: &mut TestCase) -> PlannedCall {
    let mut headers = Vec::new();
    for (argument, header) in [
        ("key", "idempotency-key"),
        ("deadline-ms", "coltsfoot-deadline-ms"),
        ("context", "coltsfoot-context"),
    ] {
        headers.extend(try_take::<String>(case, argument).map(|value| (header.to_owned(), value)));
    }
    let service = try_take(case, "service").unwrap_or_else(|| "front".to_owned());
    let operation = take(case, "operation");
    let body = try_take(case, "body").unwrap_or_else(|| "a body".to_owned());
    PlannedCall { service, operation, body, headers }
}

/// `count` calls at once, with different bodies where more than one, in turn at the nodes named.
fn call(world: &mut World, case: &mut TestCase) -> String {
    let (call, count) = (planned(case), try_take(case, "count").unwrap_or(1_usize));
    let is_host = case.take_flag("host").expect("flag");
    let nodes = names(case);
    let targets: Vec<_> = nodes.iter().map(|node| world.target(node, is_host)).collect();
    let has_own_body = !case.take_flag("same-body").expect("flag");
    if let Some(ending) = try_take::<String>(case, "until") {
        return call_until(world, targets[0], &call, &ending);
    }
    let calls = (0..count).map(|index| {
        let mut call = call.clone();
        if count > 1 && has_own_body {
            call.body = format!("body {index} {}", "x".repeat(index * 97));
            call.number_key(index);
        }
        let target = targets[index % targets.len()];
        world.runtime.spawn(async move { call.make(target).await })
    });
    let calls: Vec<_> = calls.collect();
    let hides_reason = case.take_flag("no-reason").expect("flag");
    let mut tally = IndexMap::new();
    for call in calls {
        let mut text = world.runtime.block_on(call).expect("a call");
        if hides_reason {
            text = text.split_whitespace().take(2).collect::<Vec<_>>().join(" ");
        }
        *tally.entry(text).or_insert(0) += 1;
    }
    show(tally)
}

/// Calls again and again until the reply ends as told: what else came before is not shown.
fn call_until(world: &World, target: SocketAddr, call: &PlannedCall, ending: &str) -> String {
    let mut last = String::new();
    world.runtime.block_on(until(ending, async || {
        last = call.make(target).await;
        last.ends_with(ending)
    }));
    last
}

fn show(mut tally: IndexMap<String, usize>) -> String {
    tally.sort_keys();
    let lines = tally.into_iter().map(|(text, count)| match count {
        1 => text,
        count => format!("{count} x {text}"),
    });
    lines.collect::<Vec<_>>().join("\n")
}

fn start_call(world: &mut World, case: &mut TestCase) -> String {
    let (id, call) = (take::<String>(case, "id"), planned(case));
    let target = world.target(&name(case), false);
    world.start_call(&id, target, call);
    ok()
}

fn await_call(world: &mut World, id: &str) -> String {
    let call = world.calls.swap_remove(id).expect("a call that was started");
    world.runtime.block_on(call).expect("a call")
}

/// The caller closes its connection.
fn drop_call(world: &mut World, id: &str) -> String {
    let call = world.calls.swap_remove(id).expect("a call that was started");
    call.abort();
    ok()
}

fn start_load(world: &mut World, case: &mut TestCase) -> String {
    let (id, call) = (take::<String>(case, "id"), planned(case));
    let nodes = names(case);
    let plan = LoadPlan {
        targets: nodes.iter().map(|node| world.target(node, false)).collect(),
        call,
        callers: take(case, "callers"),
        repeats: try_take(case, "repeats").unwrap_or(0),
    };
    let load = LoadLoop::start(&world.runtime, &plan);
    world.loads.insert(id, load);
    ok()
}

/// Counts vary from run to run, so replies are told by their kinds, or not at all where those vary too.
/// With `judge` the replies are held against the runs of their keys.
fn stop_load(world: &mut World, case: &mut TestCase) -> String {
    let load = world.loads.swap_remove(&take::<String>(case, "id")).expect("a load under way");
    let replies = world.runtime.block_on(load.stop());
    let mut lines = Vec::new();
    if !case.take_flag("no-kinds").expect("flag") {
        lines.extend(kinds(&replies));
    }
    if case.take_flag("no-refusals").expect("flag") {
        lines.retain(|line| !line.contains(" not-run "));
    }
    if case.take_flag("judge").expect("flag") {
        let found = false_reports(&replies, |key| world.runs_of(key));
        lines.extend(if found.is_empty() { vec!["no falsehood".to_owned()] } else { found });
    }
    lines.join("\n")
}

fn raw(world: &mut World, case: &mut TestCase) -> String {
    let kind: String = take(case, "send");
    let addresses = world.node(&name(case)).addresses;
    let address = match take::<String>(case, "to").as_str() {
        "client" => addresses.client,
        "host" => addresses.host,
        _ => addresses.peer,
    };
    let count = try_take(case, "count").unwrap_or(1_usize);
    let answers: Vec<_> = (0..count).map(|_| send_raw(address, &kind, &mut world.held)).collect();
    answers.last().cloned().unwrap_or_default()
}

fn fault(world: &mut World, case: &mut TestCase) -> String {
    if let Some(mode) = try_take::<String>(case, "table") {
        let ms = try_take(case, "ms").unwrap_or(0);
        world.fault_table(&mode, try_take(case, "count"), ms);
        return ok();
    }
    let fault: String = take(case, "upstream");
    let factor = try_take(case, "factor").unwrap_or(1.0);
    for node in names(case) {
        world.fault_upstream(&node, &fault, factor);
    }
    ok()
}

fn runs(world: &World, case: &mut TestCase) -> String {
    if let Some(key) = try_take::<String>(case, "key") {
        return world.runs_of(&key).to_string();
    }
    world.runs_at(&take::<String>(case, "service"), false).to_string()
}

fn wait(world: &mut World, case: &mut TestCase) -> String {
    if let Some(revision) = try_take(case, "revision") {
        world.await_ready(revision);
    } else if let Some(phase) = try_take::<String>(case, "phase") {
        world.await_status(&name(case), "/phase", &phase);
    } else if let Some(count) = try_take::<u64>(case, "members") {
        let service: String = take(case, "service");
        world.await_members(&name(case), &service, count);
    } else if let Some(count) = try_take::<usize>(case, "running") {
        let service: String = take(case, "service");
        world.await_condition("runs under way", || world.runs_at(&service, true) == count);
    } else if let Some(count) = try_take::<usize>(case, "runs") {
        let service: String = take(case, "service");
        world.await_condition("runs", || world.runs_at(&service, false) >= count);
    } else if case.take_flag("held-closed").expect("flag") {
        world.await_held_closed();
    } else {
        std::thread::sleep(Duration::from_millis(take(case, "ms")));
    }
    ok()
}

fn status(world: &World, case: &mut TestCase) -> String {
    let fields: Vec<String> = case.take_args("show").expect("fields");
    let status = world.runtime.block_on(world.node(&name(case)).status());
    let shown = fields.iter().map(|field| format!("{field}={}", status[field]));
    shown.collect::<Vec<_>>().join(" ")
}
