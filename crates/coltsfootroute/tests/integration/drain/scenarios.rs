//! Runs the scenarios `tests/scenarios/drain-*.txt`.

use std::path::PathBuf;

use coltsfootroute::{
    drain::{DrainSettings, DrainState, ListenerKind, StartDecision},
    time::MonotonicTime,
};
use datadriven::TestCase;
use rstest::rstest;

struct DrainFixture {
    now: MonotonicTime,
    state: DrainState,
}

impl DrainFixture {
    fn run(&mut self, case: &mut TestCase) -> String {
        match case.directive.as_str() {
            "time" => self.now = MonotonicTime::from_millis(case.take_arg("ms").unwrap()),
            "begin" => return format!("first: {}\n", self.state.begin(self.now)),
            "start" => return decision_text(self.state.try_start()),
            "nested" => return decision_text(self.state.try_start_nested()),
            "finish" => self.state.finish(),
            "status" => return self.status(),
            "idle" => return self.idle(case),
            other => panic!("unknown directive {other}"),
        }
        String::new()
    }

    fn status(&self) -> String {
        let phase = self.state.phase(self.now);
        let in_flight = self.state.in_flight();
        let close = self.state.closes_connections();
        let overdue = self.state.overdue(self.now, 0).map(|report| report.in_flight);
        format!("{phase} in-flight={in_flight} close={close} overdue={overdue:?}\n")
    }

    fn idle(&self, case: &mut TestCase) -> String {
        let since = MonotonicTime::from_millis(case.take_arg("since").unwrap());
        let closes = |listener| self.state.may_close(self.now, listener, since);
        format!(
            "client={} host={} peer={}\n",
            closes(ListenerKind::Client),
            closes(ListenerKind::Host),
            closes(ListenerKind::Peer)
        )
    }
}

fn decision_text(decision: StartDecision) -> String {
    match decision {
        StartDecision::Started => "started\n".to_owned(),
        StartDecision::Refused => "refused\n".to_owned(),
    }
}

#[rstest]
fn scenario(#[files("tests/scenarios/drain-*.txt")] path: PathBuf) {
    datadriven::walk(path.to_str().unwrap(), |file| {
        let state = DrainState::new(DrainSettings::default());
        let mut fixture = DrainFixture { now: MonotonicTime::ZERO, state };
        file.run(|case| fixture.run(case));
    });
}
