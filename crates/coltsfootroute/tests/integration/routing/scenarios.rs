//! Scripted scenarios: `tests/scenarios/routing-*.txt`.

use std::{net::SocketAddr, path::PathBuf, time::Duration};

use coltsfootroute::{
    id::{Incarnation, NodeId},
    name::{DomainName, RegionName},
    routing::{RouteResult, RoutingSettings, UpstreamInfo, UpstreamPool},
    time::MonotonicTime,
};
use datadriven::TestCase;
use indexmap::IndexMap;
use rand::SeedableRng;
use rand_pcg::Pcg64;
use rstest::rstest;

struct RoutingFixture {
    now: MonotonicTime,
    pool: UpstreamPool,
    rng: Pcg64,
    /// Latency and result of the upstreams that do not behave like [`USUAL`].
    behaviours: IndexMap<NodeId, (Duration, RouteResult)>,
}

const USUAL: (Duration, RouteResult) = (Duration::from_millis(10), RouteResult::Succeeded);

pub fn node(number: u16) -> NodeId {
    NodeId(SocketAddr::from(([10, 0, 0, 1], number)))
}

fn fixture() -> RoutingFixture {
    let settings = RoutingSettings::default().with_callers(10);
    let pool = UpstreamPool::new(DomainName::new("a"), RegionName::new("r"), settings);
    let rng = Pcg64::seed_from_u64(1);
    RoutingFixture { now: MonotonicTime::ZERO, pool, rng, behaviours: IndexMap::new() }
}

impl RoutingFixture {
    fn run(&mut self, case: &mut TestCase) -> String {
        match case.directive.as_str() {
            "time" => self.now = MonotonicTime::from_millis(case.take_arg("ms").unwrap()),
            "update" => {
                let infos: Vec<_> = case.input.lines().map(upstream_info).collect();
                self.pool.update(self.now, infos);
            }
            "behave" => self.behave(case),
            "calls" => return self.calls(case),
            "finish" => self.finish(case),
            "status" => return self.status(),
            other => panic!("unknown directive {other}"),
        }
        String::new()
    }

    fn behave(&mut self, case: &mut TestCase) {
        let latency = case.try_take_arg("latency").unwrap().map_or(USUAL.0, Duration::from_millis);
        let result = result_of(case);
        self.behaviours.insert(take_node(case), (latency, result));
    }

    /// Starts `count` calls, each `gap` milliseconds after the previous one. Finishes each one immediately unless
    /// `hold` is given.
    fn calls(&mut self, case: &mut TestCase) -> String {
        let count: u32 = case.take_arg("count").unwrap();
        let gap = Duration::from_millis(case.try_take_arg("gap").unwrap().unwrap_or(10));
        let hold = case.take_flag("hold").unwrap();
        let exclude: Vec<u16> = case.try_take_args("exclude").unwrap().unwrap_or_default();
        let exclude: Vec<_> = exclude.into_iter().map(node).collect();
        let mut chosen: IndexMap<Option<NodeId>, u32> = IndexMap::new();
        for _ in 0..count {
            let choice = self.pool.choose(self.now, &mut self.rng, &exclude);
            *chosen.entry(choice).or_default() += 1;
            if let Some(node) = choice {
                self.pool.started(self.now, node);
                let (latency, result) = self.behaviours.get(&node).copied().unwrap_or(USUAL);
                if !hold {
                    self.pool.finished(self.now, node, latency, result);
                }
            }
            self.now = self.now + gap;
        }
        chosen.sort_keys();
        chosen.iter().map(|(choice, count)| choice_text(*choice, *count)).collect()
    }

    fn finish(&mut self, case: &mut TestCase) {
        let count: u32 = case.take_arg("count").unwrap();
        let result = result_of(case);
        let node = take_node(case);
        for _ in 0..count {
            self.pool.finished(self.now, node, USUAL.0, result);
        }
    }

    fn status(&self) -> String {
        let status = self.pool.status(self.now);
        let mut text: String = status
            .upstreams
            .iter()
            .map(|upstream| {
                let number = upstream.node.0.port();
                let (in_flight, share) = (upstream.in_flight, upstream.share.0);
                format!("{number} {} in-flight={in_flight}/{share}\n", upstream.phase)
            })
            .collect();
        if self.pool.is_empty() {
            text.push_str("empty\n");
        }
        text
    }
}

fn choice_text(choice: Option<NodeId>, count: u32) -> String {
    match choice {
        Some(node) => format!("{}: {count}\n", node.0.port()),
        None => format!("none: {count}\n"),
    }
}

/// Parses a line such as `3 b r 1000 leaving`: node, failure domain, region, incarnation, flags.
fn upstream_info(line: &str) -> UpstreamInfo {
    let words: Vec<_> = line.split_whitespace().collect();
    UpstreamInfo {
        node: node(words[0].parse().unwrap()),
        incarnation: Incarnation(words[3].parse().unwrap()),
        domain: DomainName::new(words[1]),
        region: RegionName::new(words[2]),
        slots: 100,
        connections: 100,
        leaving: words.contains(&"leaving"),
        suspect: words.contains(&"suspect"),
    }
}

fn take_node(case: &mut TestCase) -> NodeId {
    node(case.take_arg("node").unwrap())
}

fn result_of(case: &mut TestCase) -> RouteResult {
    let name: Option<String> = case.try_take_arg("result").unwrap();
    match name.as_deref().unwrap_or("succeeded") {
        "succeeded" => RouteResult::Succeeded,
        "failed" => RouteResult::Failed,
        "failed-below" => RouteResult::FailedBelow,
        "refused" => RouteResult::Refused,
        "leaving" => RouteResult::Leaving,
        "unreachable" => RouteResult::Unreachable,
        "cancelled" => RouteResult::Cancelled,
        other => panic!("unknown result {other}"),
    }
}

#[rstest]
fn scenario(#[files("tests/scenarios/routing-*.txt")] path: PathBuf) {
    datadriven::walk(path.to_str().unwrap(), |file| {
        let mut fixture = fixture();
        file.run(|case| fixture.run(case));
    });
}
