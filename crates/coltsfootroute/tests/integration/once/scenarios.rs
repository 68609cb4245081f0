//! Runs the scenarios `tests/scenarios/once-*.txt`.

use std::time::Duration;

use coltsfootroute::once::{ClaimId, ClaimRecord};
use datadriven::{TestCase, walk_exclusive};
use indexmap::IndexMap;

use crate::util::once_world::{OnceWorld, RETENTION, StoreBehavior};

struct ScenarioRun {
    world: OnceWorld,
    calls: IndexMap<String, ClaimId>,
}

fn parse_behavior(text: &str) -> StoreBehavior {
    match text {
        "up" => StoreBehavior::Up,
        "ack-lost" => StoreBehavior::AckLost,
        "lost" => StoreBehavior::Lost,
        "late" => StoreBehavior::Late,
        "down" => StoreBehavior::Down,
        _ => panic!("unknown behavior {text}"),
    }
}

impl ScenarioRun {
    fn new() -> Self {
        Self { world: OnceWorld::new(2), calls: IndexMap::new() }
    }

    fn run(&mut self, case: &mut TestCase) -> String {
        let output = self.command(case);
        case.expect_empty().expect("unknown argument");
        output + "\n"
    }

    fn command(&mut self, case: &mut TestCase) -> String {
        match case.directive.as_str() {
            "call" => self.call(case),
            "dispatch" => self.act(case, OnceWorld::dispatch),
            "finish" => self.act(case, |world, id| world.finish(id, 0)),
            "finish-long" => self.act(case, |world, id| world.finish(id, 100)),
            "interrupt" => self.act(case, OnceWorld::interrupt),
            "cancel" => self.act(case, OnceWorld::cancel),
            "told" => self.act(case, |_, _| {}),
            "errands" => self.tasks(case),
            "kill" => {
                let guard = guard_of(case);
                self.world.restart(guard);
                "restarted".to_owned()
            }
            "pause" => {
                let millis = case.take_arg("ms").expect("ms");
                self.world.advance(Duration::from_millis(millis));
                "resumed".to_owned()
            }
            "expire" => {
                self.world.advance(RETENTION);
                "retention ended".to_owned()
            }
            "sweep" => {
                self.world.sweep();
                "swept".to_owned()
            }
            "land-late" => {
                self.world.apply_late_writes();
                "landed".to_owned()
            }
            "key" => self.key(case),
            other => panic!("unknown command {other}"),
        }
    }

    /// Begins a call and lets the store handle its requests one after the other, with the given
    /// behaviors first and `up` after them.
    fn call(&mut self, case: &mut TestCase) -> String {
        let name: String = case.take_arg("as").expect("as");
        let key: String = case.take_arg("key").expect("key");
        let body = case.try_take_arg::<String>("body").expect("body").unwrap_or_default();
        let guard = guard_of(case);
        let claim_id = self.world.begin(guard, &key, &body);
        self.calls.insert(name, claim_id);
        if case.take_flag("in-flight").expect("in-flight") {
            return self.state(claim_id);
        }
        self.deliver_all(case);
        self.state(claim_id)
    }

    fn tasks(&mut self, case: &mut TestCase) -> String {
        let guard = guard_of(case);
        self.world.send_tasks(guard);
        self.deliver_all(case);
        let guard = &self.world.guards[guard];
        format!("{} to release, {} to store", guard.abandoned_claims(), guard.unstored_answers())
    }

    fn deliver_all(&mut self, case: &mut TestCase) {
        let behaviors: Vec<String> =
            case.try_take_args("store").expect("store").unwrap_or_default();
        let mut behaviors = behaviors.iter().map(|text| parse_behavior(text));
        while !self.world.pending_requests.is_empty() {
            self.world.deliver(0, behaviors.next().unwrap_or(StoreBehavior::Up));
        }
    }

    fn act(&mut self, case: &mut TestCase, action: impl FnOnce(&mut OnceWorld, ClaimId)) -> String {
        let name: String = case.take_arg("call").expect("call");
        let claim_id = self.calls[&name];
        action(&mut self.world, claim_id);
        self.state(claim_id)
    }

    fn state(&self, claim_id: ClaimId) -> String {
        let attempt = &self.world.attempts[&claim_id];
        match &attempt.reported {
            Some(reported) => format!("told {reported}"),
            None if self.world.runs.contains_key(&claim_id) => "running".to_owned(),
            None if self.world.tickets.contains_key(&claim_id) => "claimed".to_owned(),
            None => "claiming".to_owned(),
        }
    }

    fn key(&mut self, case: &mut TestCase) -> String {
        let key: String = case.take_arg("is").expect("is");
        let record = match self.world.record(&key) {
            None => "absent",
            Some(ClaimRecord::Free) => "free",
            Some(ClaimRecord::Claimed(_)) => "claimed",
            Some(ClaimRecord::Finished { .. }) => "finished",
            Some(ClaimRecord::Interrupted(_)) => "interrupted",
            Some(ClaimRecord::Expired) => "expired",
        };
        format!("{record}, runs: {}", self.world.runs_of(&key))
    }
}

fn guard_of(case: &mut TestCase) -> usize {
    let name: String = case.take_arg("guard").expect("guard");
    match name.as_str() {
        "a" => 0,
        "b" => 1,
        _ => panic!("guards are a and b"),
    }
}

#[test]
fn scenarios_hold() {
    let is_other = |file: &datadriven::TestFile| {
        let path = file.filename.rsplit('/').next().unwrap_or_default();
        !path.starts_with("once-")
    };

    walk_exclusive(
        "tests/scenarios",
        |file| {
            let mut scenario = ScenarioRun::new();
            file.run(|case| scenario.run(case));
        },
        is_other,
    );
}
