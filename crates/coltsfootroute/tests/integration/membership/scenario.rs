//! Runner of the scripted scenarios in `tests/scenarios/membership-*.txt`.

use std::{fmt::Write, time::Duration};

use coltsfootroute::{
    id::NodeId,
    membership::{GossipEffect, GossipEngine, GossipKind, MemberRecord},
    time::MonotonicTime,
};
use datadriven::TestCase;
use indexmap::IndexMap;
use rstest::rstest;

use super::network::{GossipNetwork, node_id};

/// Simulated network, with the nodes by their names in the script.
struct ScenarioRunner {
    network: GossipNetwork,
    names: IndexMap<String, NodeId>,
}

#[rstest]
#[case::newcomer("membership-newcomer.txt")]
#[case::ask("membership-ask.txt")]
#[case::join("membership-join.txt")]
#[case::leave("membership-leave.txt")]
#[case::failure("membership-failure.txt")]
#[case::partition("membership-partition.txt")]
#[case::pause("membership-pause.txt")]
#[case::restart("membership-restart.txt")]
#[case::silence("membership-silence.txt")]
#[case::takeover("membership-takeover.txt")]
fn scenario(#[case] file: &str) {
    let path = format!("{}/tests/scenarios/{file}", env!("CARGO_MANIFEST_DIR"));
    datadriven::walk(&path, |script| {
        let mut runner = ScenarioRunner { network: GossipNetwork::new(7), names: IndexMap::new() };
        script.run(|case| runner.run(case));
    });
}

impl ScenarioRunner {
    fn run(&mut self, case: &mut TestCase) -> String {
        match case.directive.as_str() {
            "start" => self.start(case),
            "announce" => {
                let service: String = case.take_arg("service").unwrap();
                self.each_node(case, |network, node| network.announce(node, &service));
            }
            "leave" => self.each_node(case, GossipNetwork::leave),
            "kill" => self.each_node(case, GossipNetwork::kill),
            "pause" => self.each_node(case, GossipNetwork::pause),
            "resume" => self.each_node(case, GossipNetwork::resume),
            "restart" => self.each_node(case, GossipNetwork::restart),
            "cut" => self.each_node(case, |network, node| network.set_side(node, 1)),
            "heal" => self.network.heal(),
            "loss" => self.network.loss_percent = case.take_arg("percent").unwrap(),
            "duplicate" => self.network.duplicate_percent = case.take_arg("percent").unwrap(),
            "delay" => {
                self.network.max_delay = Duration::from_millis(case.take_arg("up-to-ms").unwrap())
            }
            "run" => self.network.run(Duration::from_millis(case.take_arg("ms").unwrap())),
            "revision" => {
                let revision = case.take_arg("to").unwrap();
                self.each_node(case, |network, node| {
                    network.nodes[&node].engine.set_revision(revision)
                });
            }
            "introduce" => self.introduce(case),
            "ask" => self.ask(case),
            "reached" => self.note_calls(case, GossipEngine::note_call_reached),
            "unreached" => self.note_calls(case, GossipEngine::note_call_unreachable),
            "view" => return self.view(case),
            "events" => return self.events(case),
            "sent" => return self.sent(case),
            other => panic!("unknown command {other}"),
        }
        String::new()
    }

    fn start(&mut self, case: &mut TestCase) {
        let peers = self.take_nodes(case, "peers");
        let watched: Vec<String> = case.try_take_args("watch").unwrap().unwrap_or_default();
        let watched: Vec<_> = watched.iter().map(String::as_str).collect();
        for name in take_names(case) {
            let node = self.node(&name);
            self.network.start(node, peers.clone());
            self.network.watch(node, &watched);
        }
    }

    fn introduce(&mut self, case: &mut TestCase) {
        let to = self.take_nodes(case, "to");
        let now = self.network.now;
        self.each_node(case, |network, node| {
            network.nodes[&node].engine.introduce(now, to.iter().copied());
        });
    }

    /// Notes on the named nodes whether their calls to the service reached a member.
    fn note_calls(
        &mut self,
        case: &mut TestCase,
        note: fn(&mut GossipEngine, MonotonicTime, &str),
    ) {
        let service: String = case.take_arg("service").unwrap();
        let now = self.network.now;
        self.each_node(case, |network, node| {
            note(&mut network.nodes[&node].engine, now, &service);
        });
    }

    fn ask(&mut self, case: &mut TestCase) {
        let to = self.take_nodes(case, "to");
        self.each_node(case, |network, node| network.ask(node, &to));
    }

    /// Prints the records that each named node holds of the service; equal views are printed once.
    fn view(&mut self, case: &mut TestCase) -> String {
        let service: String = case.take_arg("service").unwrap();
        let mut views: IndexMap<String, Vec<String>> = IndexMap::new();
        for name in take_names(case) {
            let engine = &self.network.nodes[&self.names[&name]].engine;
            let mut records: Vec<_> =
                engine.records(&service).map(|record| self.show(record)).collect();
            records.sort_unstable();
            views.entry(records.join(" ")).or_default().push(name);
        }
        let lines = views.into_iter().map(|(view, names)| format!("{}: {view}\n", names.join(",")));
        lines.collect()
    }

    /// Prints the events of each named node since the last call, without duplicates and sorted, because their order is
    /// random.
    fn events(&mut self, case: &mut TestCase) -> String {
        let mut text = String::new();
        for name in take_names(case) {
            let node = self.names[&name];
            let events = std::mem::take(&mut self.network.nodes[&node].events);
            let mut lines: Vec<_> =
                events.iter().filter_map(|event| self.show_event(event)).collect();
            lines.sort_unstable();
            lines.dedup();
            for line in lines {
                writeln!(text, "{name}: {line}").unwrap();
            }
        }
        text
    }

    /// Prints the number of datagrams of one kind that each named node sent, and whether all its traffic stayed within
    /// the budget.
    fn sent(&mut self, case: &mut TestCase) -> String {
        let kind: String = case.take_arg("kind").unwrap();
        let kind = GossipKind::ALL.into_iter().find(|known| known.as_str() == kind).unwrap();
        let mut text = String::new();
        for name in take_names(case) {
            let node = self.names[&name];
            let counters = self.network.nodes[&node].engine.status().counters;
            let within = counters.total_bytes() <= self.network.allowed_bytes(node);
            writeln!(text, "{name}: {} within-budget={within}", counters.messages(kind)).unwrap();
        }
        text
    }

    fn show(&self, record: &MemberRecord) -> String {
        format!("{}={:?}", self.name(record.node), record.state).to_lowercase()
    }

    fn show_event(&self, event: &GossipEffect) -> Option<String> {
        let text = match event {
            GossipEffect::MemberUp { service, node, .. } => {
                format!("up {service} {}", self.name(*node))
            }
            GossipEffect::MemberDown { service, node, state } => {
                format!("{state:?} {service} {}", self.name(*node)).to_lowercase()
            }
            GossipEffect::MemberLeft { service, node } => {
                format!("left {service} {}", self.name(*node))
            }
            GossipEffect::RevisionBehind { revision, .. } => format!("behind {revision}"),
            GossipEffect::QuarantineDiffers { peer } => {
                format!("quarantine-differs {}", self.name(*peer))
            }
            GossipEffect::Joined => "joined".to_owned(),
            GossipEffect::PauseDetected { .. } => "pause-detected".to_owned(),
            GossipEffect::Reincarnated { .. } => "reincarnated".to_owned(),
            GossipEffect::Changed { .. } | GossipEffect::Send { .. } => return None,
        };
        Some(text)
    }

    fn each_node(&mut self, case: &mut TestCase, mut act: impl FnMut(&mut GossipNetwork, NodeId)) {
        for name in take_names(case) {
            act(&mut self.network, self.names[&name]);
        }
    }

    fn take_nodes(&mut self, case: &mut TestCase, arg: &str) -> Vec<NodeId> {
        let names: Vec<String> = case.try_take_args(arg).unwrap().unwrap_or_default();
        names.iter().map(|name| self.node(name)).collect()
    }

    fn node(&mut self, name: &str) -> NodeId {
        let next = node_id(self.names.len() as u8 + 1);
        *self.names.entry(name.to_owned()).or_insert(next)
    }

    fn name(&self, node: NodeId) -> &str {
        let found = self.names.iter().find(|(_, known)| **known == node);
        found.map_or("?", |(name, _)| name)
    }
}

fn take_names(case: &mut TestCase) -> Vec<String> {
    case.take_args("nodes").unwrap()
}
