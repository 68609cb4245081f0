//! Stateful fuzzing of submission and propagation against the list of committed transactions.

use super::world::{Delivery, World, submission_request};
use coltsfootroute::{
    id::NodeId,
    revision::{
        ApplyOutcome, ConfigState, ContentDigest, Revision, SubmissionResult, verify_history,
    },
};
use proptest::prelude::*;
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};

use crate::util::fuzz_config::fuzz_config;

const NODES: usize = 3;
const SEED: u64 = 0x5eed_c017;

/// Step of a fuzz run. Indices are taken modulo the number of available items.
#[derive(Clone, Debug)]
pub enum FuzzStep {
    /// An operator submits a document and expects a revision that is `stale` lower than the newest.
    Submit { stale: u64, slots: [u32; 3] },
    /// The operator repeats a command, with the same document or another.
    Repeat { which: usize, same: bool },
    /// One request of a running submission is sent, with the given delivery.
    Step { which: usize, delivery: Delivery },
    /// Delayed writes arrive.
    DeliverDelayed,
    /// A node reads the table service.
    Load { node: usize },
    /// A node creates a delta for another, which may arrive at any time: never, once or several times.
    CreateDelta { from: usize, to: usize },
    /// A delta in transit arrives.
    Deliver { which: usize, to: usize },
    /// A node loses its state and queries the others for their revisions.
    Restart { node: usize },
    /// A node receives a peer's revision, or stops waiting for the peer.
    ReceiveRevision { from: usize, to: usize, is_lost: bool },
}

pub struct Script;

impl ReferenceStateMachine for Script {
    type State = ();
    type Transition = FuzzStep;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions((): &()) -> BoxedStrategy<FuzzStep> {
        let delivery = prop_oneof![
            5 => Just(Delivery::Delivered),
            1 => Just(Delivery::Down),
            1 => Just(Delivery::ReplyLost),
            1 => Just(Delivery::Delayed),
        ];
        let node = || 0..NODES;
        let stale = prop_oneof![3 => Just(0u64), 1 => Just(1), 1 => 0..4u64];
        prop_oneof![
            2 => (stale, [0..4u32, 0..4, 0..4])
                .prop_map(|(stale, slots)| FuzzStep::Submit { stale, slots }),
            1 => (any::<usize>(), any::<bool>())
                .prop_map(|(which, same)| FuzzStep::Repeat { which, same }),
            16 => (any::<usize>(), delivery).prop_map(|(which, delivery)| FuzzStep::Step { which, delivery }),
            1 => Just(FuzzStep::DeliverDelayed),
            2 => node().prop_map(|node| FuzzStep::Load { node }),
            4 => (node(), node()).prop_map(|(from, to)| FuzzStep::CreateDelta { from, to }),
            6 => (any::<usize>(), node()).prop_map(|(which, to)| FuzzStep::Deliver { which, to }),
            1 => node().prop_map(|node| FuzzStep::Restart { node }),
            8 => (node(), node(), prop::bool::weighted(0.2))
                .prop_map(|(from, to, is_lost)| FuzzStep::ReceiveRevision { from, to, is_lost }),
        ]
        .boxed()
    }

    fn apply((): (), _: &FuzzStep) {}
}

/// System under test, with the number of submissions and the revisions that each node has received.
#[derive(Default)]
pub struct FuzzRun {
    world: World,
    submitted: usize,
    observed: [NodeObservation; NODES],
}

/// Highest revision that a node has received since its start, and whether its gate is open.
#[derive(Default)]
struct NodeObservation {
    highest: Revision,
    is_open: bool,
}

impl FuzzRun {
    fn submit(&mut self, key: &str, expected: u64, lines: &str) {
        self.submitted += 1;
        let name = format!("s{}", self.submitted);
        self.world.submit(&name, submission_request("amina", key, expected, lines));
    }

    fn submit_new(&mut self, stale: u64, slots: [u32; 3]) {
        let newest = self.world.table.commits.len() as u64;
        let key = format!("k{}", self.submitted);
        // If `stale` exceeds the newest revision, the operator expects a revision that doesn't exist.
        let expected = newest.checked_sub(stale).unwrap_or(newest + stale);
        self.submit(&key, expected, &lines(slots));
    }

    fn repeat(&mut self, which: usize, same: bool) {
        let Some(name) = pick(&self.names(|_| true), which) else {
            return;
        };
        let request = self.world.runners[&name].request.clone();
        let services = request.document.services.iter();
        let add = u32::from(!same);
        let text: Vec<_> =
            services.map(|service| format!("{} {}", service.name, service.slots + add)).collect();
        self.submit(request.key.as_str(), request.expected.0, &text.join("\n"));
    }

    fn step(&mut self, which: usize, delivery: Delivery) {
        let running = self.names(|result| result.is_none());
        if let Some(name) = pick(&running, which) {
            self.world.step(&name, delivery);
        }
    }

    fn names(&self, is_wanted: fn(&Option<SubmissionResult>) -> bool) -> Vec<String> {
        let wanted = self.world.runners.iter().filter(|(_, runner)| is_wanted(&runner.result));
        wanted.map(|(name, _)| name.clone()).collect()
    }

    fn load(&mut self, node: usize) {
        let name = node.to_string();
        let before = self.world.node(&name).state.revision();
        let applied = self.world.load(&name);
        let newest = self.world.table.commits.len() as u64;
        self.observed[node].highest = Revision(newest);
        assert_eq!(self.world.node(&name).state.revision(), Revision(newest));
        self.check_rise(&name, before, applied.expect("the table service holds one history"));
    }

    fn create_delta(&mut self, from: usize, to: usize) {
        let since = self.world.node(&to.to_string()).state.revision();
        if let Some(delta) = self.world.node(&from.to_string()).state.delta_since(since) {
            let name = format!("d{}", self.world.deltas.len());
            self.world.deltas.insert(name, delta);
        }
    }

    fn deliver(&mut self, which: usize, to: usize) {
        let names: Vec<String> = self.world.deltas.keys().cloned().collect();
        let Some(name) = pick(&names, which) else {
            return;
        };
        let (delta, to) = (self.world.deltas[&name].clone(), to.to_string());
        let state = &mut self.world.node(&to).state;
        let before = state.revision();
        let fits = delta.from <= before && before < delta.to();
        match state.apply_delta(&delta) {
            Ok(applied) => {
                assert_eq!(fits, applied != ApplyOutcome::AlreadyHeld, "{before} {delta:?}");
                self.check_rise(&to, before, applied);
            }
            Err(_) => {
                assert!(delta.from > before, "a delta that fits was refused: {before} {delta:?}")
            }
        }
    }

    fn restart(&mut self, node: usize) {
        self.world.nodes.shift_remove(&node.to_string());
        self.observed[node] = NodeObservation::default();
        let started = self.world.node(&node.to_string());
        (0..NODES).filter(|peer| *peer != node).for_each(|peer| started.gate.await_peer(id(peer)));
    }

    fn receive_revision(&mut self, from: usize, to: usize, is_lost: bool) {
        let revision = self.world.node(&from.to_string()).state.revision();
        let node = self.world.node(&to.to_string());
        if is_lost {
            node.gate.stop_awaiting(id(from));
        } else {
            node.gate.record_peer_revision(id(from), revision);
            self.observed[to].highest = self.observed[to].highest.max(revision);
        }
    }

    /// Checks that a gate opens only at a revision not lower than any received since the start, and stays open.
    fn try_gates(&mut self) {
        for (index, observed) in self.observed.iter_mut().enumerate() {
            let Some(node) = self.world.nodes.get_mut(&index.to_string()) else {
                continue;
            };
            let held = node.state.revision();
            let is_open = node.gate.try_open(held);
            if is_open && !observed.is_open {
                assert!(held > Revision::ZERO && held >= observed.highest, "opened at {held}");
            }
            assert!(is_open || !observed.is_open, "closed again");
            observed.is_open = is_open;
        }
    }

    /// Checks that a state's revision never decreases and that the outcome reports the change.
    fn check_rise(&mut self, node: &str, before: Revision, applied: ApplyOutcome) {
        let after = self.world.node(node).state.revision();
        match applied {
            ApplyOutcome::Advanced { revision, .. } => assert!(before < after && after == revision),
            ApplyOutcome::AlreadyHeld => assert_eq!(before, after),
        }
    }

    fn check_node(&self, state: &ConfigState) {
        let Some(index) = state.revision().0.checked_sub(1) else {
            return;
        };
        let commit = &self.world.table.commits[index as usize];
        let content = ContentDigest::of_document(&commit.document);
        assert_eq!(ContentDigest::of_document(&state.document()), content);
    }

    fn check_commits(&self) {
        let commits = &self.world.table.commits;
        for (index, commit) in commits.iter().enumerate() {
            assert_eq!(commit.revision, index as u64 + 1, "revisions rise by 1");
            let twice = commits.iter().filter(|other| other.key == commit.key).count();
            assert_eq!(twice, 1, "{} was accepted twice", commit.key);
            let runners = self.world.runners.values();
            let mut own = runners.filter(|runner| runner.request.key.as_str() == commit.key);
            let expected = own.next().expect("a submission").request.expected;
            assert_eq!(
                expected.next().0,
                commit.revision,
                "accepted on top of another revision than the expected one"
            );
        }
    }

    fn check_results(&self) {
        for runner in self.world.runners.values() {
            let (key, document) = (runner.request.key.as_str(), &runner.request.document);
            let commits = self.world.table.commits.iter();
            let own = commits.clone().find(|commit| commit.key == key);
            let is_in = own.is_some_and(|commit| commit.document == *document);
            match &runner.result {
                Some(
                    SubmissionResult::Accepted(record) | SubmissionResult::AlreadyAccepted(record),
                ) => {
                    assert!(is_in, "reported as accepted, but no commit has this document");
                    assert_eq!(Some(record.revision.0), own.map(|commit| commit.revision));
                }
                Some(SubmissionResult::Conflict { current, .. }) => {
                    let newest = current.as_ref().map_or(Revision::ZERO, |record| record.revision);
                    // An operator may repeat a command whose expected revision didn't exist at first.
                    let is_early = newest < runner.request.expected && runner.writes == 0;
                    assert!(own.is_none() || is_early, "reported as a conflict, but committed");
                }
                Some(SubmissionResult::KeyReused(_)) => assert!(own.is_some() && !is_in),
                Some(SubmissionResult::Faulty(fault)) => panic!("{fault}"),
                Some(SubmissionResult::Unresolved { may_take_effect: false }) => {
                    let mut others = self.world.runners.values().filter(|other| {
                        other.request.key.as_str() == key && !std::ptr::eq(*other, runner)
                    });
                    let is_of_other = others.any(|other| other.writes > 0);
                    assert!(
                        own.is_none() || is_of_other,
                        "reported as without effect, but committed"
                    );
                }
                Some(SubmissionResult::Unresolved { may_take_effect: true }) | None => {}
            }
        }
    }

    /// Checks that after the faults all submissions end, all nodes get the same configuration and the history verifies.
    fn settle(mut self) {
        self.world.deliver_delayed();
        for name in self.names(|result| result.is_none()) {
            self.world.run(&name);
        }
        self.repeat_unresolved();
        self.load(0);
        for node in 1..NODES {
            self.create_delta(0, node);
            let last = self.world.deltas.len().saturating_sub(1);
            self.deliver(last, node);
            let revision = self.world.node(&node.to_string()).state.revision();
            assert_eq!(revision.0, self.world.table.commits.len() as u64);
        }
        self.check();
        let history = self.world.history();
        assert_eq!(history.len(), self.world.table.commits.len());
        assert_eq!(verify_history(&history), Ok(()));
    }

    /// Checks that repeating an abandoned submission with its key resolves it.
    fn repeat_unresolved(&mut self) {
        let is_unresolved = |result: &Option<SubmissionResult>| {
            matches!(result, Some(SubmissionResult::Unresolved { .. }))
        };
        for name in self.names(is_unresolved) {
            let request = self.world.runners[&name].request.clone();
            self.submitted += 1;
            let again = format!("s{}", self.submitted);
            self.world.submit(&again, request);
            self.world.run(&again);
            assert!(
                !is_unresolved(&self.world.runners[&again].result),
                "unresolved without faults"
            );
        }
    }

    fn check(&self) {
        self.check_commits();
        self.check_results();
        self.world.nodes.values().for_each(|node| self.check_node(&node.state));
    }
}

/// Returns one line for each service with more than 0 slots; a service with 0 slots is absent.
fn lines(slots: [u32; 3]) -> String {
    let all = ["catalogo", "envios", "fletes"].into_iter().zip(slots);
    let present: Vec<_> = all
        .filter(|(_, slots)| *slots > 0)
        .map(|(name, slots)| format!("{name} {slots}"))
        .collect();
    present.join("\n")
}

fn id(node: usize) -> NodeId {
    NodeId(([127, 0, 0, 1], node as u16).into())
}

fn pick(names: &[String], which: usize) -> Option<String> {
    names.get(which.checked_rem(names.len())?).cloned()
}

impl StateMachineTest for FuzzRun {
    type SystemUnderTest = Self;
    type Reference = Script;

    fn init_test((): &()) -> Self {
        Self::default()
    }

    fn apply(mut run: Self, (): &(), step: FuzzStep) -> Self {
        match step {
            FuzzStep::Submit { stale, slots } => run.submit_new(stale, slots),
            FuzzStep::Repeat { which, same } => run.repeat(which, same),
            FuzzStep::Step { which, delivery } => run.step(which, delivery),
            FuzzStep::DeliverDelayed => drop(run.world.deliver_delayed()),
            FuzzStep::Load { node } => run.load(node),
            FuzzStep::CreateDelta { from, to } => run.create_delta(from, to),
            FuzzStep::Deliver { which, to } => run.deliver(which, to),
            FuzzStep::Restart { node } => run.restart(node),
            FuzzStep::ReceiveRevision { from, to, is_lost } => {
                run.receive_revision(from, to, is_lost)
            }
        }
        run.try_gates();
        run
    }

    fn check_invariants(run: &Self, (): &()) {
        run.check();
    }

    fn teardown(run: Self, (): ()) {
        run.settle();
    }
}

prop_state_machine! {
    #![proptest_config(fuzz_config(64, SEED))]

    #[test]
    fn submission_and_spread_follow_the_oracle(sequential 1..320 => FuzzRun);
}
