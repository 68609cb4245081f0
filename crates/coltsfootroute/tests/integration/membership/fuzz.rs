//! Fuzz test against an oracle that holds the true state of each node.
//!
//! Checked at every step: a record that a node shows of another never decreases in the merge order, so that no leave is
//! undone within its incarnation and no incarnation decreases; a node's own incarnation never decreases; control
//! traffic stays within the budget. Checked at the end, after the network has healed and settled: every live member is
//! shown as alive by every node, and no other node is shown.

use std::{cmp::Ordering, time::Duration};

use coltsfootroute::{
    id::{Incarnation, NodeId},
    membership::{MemberRecord, MemberState},
};
use indexmap::IndexMap;
use proptest::{prelude::*, strategy::Union};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};

use crate::util::fuzz_config::fuzz_config;

use super::network::{GossipNetwork, ProcessState, node_id};

const NODES: usize = 7;
const SERVICES: [&str; 2] = ["logbook", "medicals"];
const RESTART_TIME: Duration = Duration::from_millis(50);
/// Time in which the network settles: long enough for a suspicion to expire, for probes of all dead members, and for a
/// comparison of groups.
const SETTLING_TIME: Duration = Duration::from_secs(120);

/// Actual state of a node.
#[derive(Clone, Debug)]
struct ExpectedNode {
    process: ProcessState,
    service: Option<usize>,
}

#[derive(Clone, Debug)]
enum FuzzStep {
    Announce(usize, usize),
    Leave(usize),
    Kill(usize),
    Restart(usize),
    Pause(usize),
    Resume(usize),
    Cut(u8),
    Heal,
    Loss(u32),
    Delay(u64),
    Run(u64),
}

struct ExpectedMembership;

impl ReferenceStateMachine for ExpectedMembership {
    type State = Vec<ExpectedNode>;
    type Transition = FuzzStep;

    fn init_state() -> BoxedStrategy<Self::State> {
        let node = |place: usize| ExpectedNode {
            process: ProcessState::Up,
            service: Some(usize::from(place >= 4)),
        };
        Just((0..NODES).map(node).collect::<Vec<_>>()).boxed()
    }

    fn transitions(_: &Self::State) -> BoxedStrategy<FuzzStep> {
        let node = || 0..NODES;
        let steps = [
            (node(), 0..SERVICES.len())
                .prop_map(|(node, service)| FuzzStep::Announce(node, service))
                .boxed(),
            node().prop_map(FuzzStep::Leave).boxed(),
            node().prop_map(FuzzStep::Kill).boxed(),
            node().prop_map(FuzzStep::Restart).boxed(),
            node().prop_map(FuzzStep::Pause).boxed(),
            node().prop_map(FuzzStep::Resume).boxed(),
            any::<u8>().prop_map(FuzzStep::Cut).boxed(),
            Just(FuzzStep::Heal).boxed(),
            (0_u32..50).prop_map(FuzzStep::Loss).boxed(),
            (2_u64..800).prop_map(FuzzStep::Delay).boxed(),
        ];
        let run = (50_u64..15_000).prop_map(FuzzStep::Run).boxed();
        let count = steps.len() as u32;
        let steps = steps.into_iter().map(|step| (1, step));
        Union::new_weighted(steps.chain([(count, run)]).collect()).boxed()
    }

    fn apply(mut state: Self::State, step: &FuzzStep) -> Self::State {
        match *step {
            FuzzStep::Announce(node, service) => state[node].service = Some(service),
            FuzzStep::Leave(node) => state[node].service = None,
            FuzzStep::Kill(node) => state[node].process = ProcessState::Killed,
            FuzzStep::Restart(node) => {
                state[node] = ExpectedNode { process: ProcessState::Up, service: None }
            }
            FuzzStep::Pause(node) => state[node].process = ProcessState::Paused,
            FuzzStep::Resume(node) => state[node].process = ProcessState::Up,
            _ => {}
        }
        state
    }

    fn preconditions(state: &Self::State, step: &FuzzStep) -> bool {
        match *step {
            FuzzStep::Announce(node, _) | FuzzStep::Leave(node) | FuzzStep::Pause(node) => {
                state[node].process == ProcessState::Up
            }
            FuzzStep::Resume(node) => state[node].process == ProcessState::Paused,
            FuzzStep::Kill(node) => state[node].process != ProcessState::Killed,
            _ => true,
        }
    }
}

/// Observer, number of its starts, observed node, service.
type ObservationKey = (NodeId, u64, NodeId, &'static str);

struct FuzzedNetwork {
    network: GossipNetwork,
    seen: IndexMap<ObservationKey, MemberRecord>,
    own: IndexMap<NodeId, Incarnation>,
}

impl FuzzedNetwork {
    fn new() -> Self {
        let mut network = GossipNetwork::new(5);
        network.duplicate_percent = 5;
        let mut fuzzed = Self { network, seen: IndexMap::new(), own: IndexMap::new() };
        for place in 0..NODES {
            fuzzed.start(place);
            fuzzed.network.announce(fuzz_node(place), SERVICES[usize::from(place >= 4)]);
        }
        fuzzed.run(Duration::from_secs(20));
        fuzzed
    }

    /// Starts a node with two peers in its settings, which may be down themselves.
    fn start(&mut self, place: usize) {
        self.network.start(fuzz_node(place), vec![fuzz_node(0), fuzz_node(5)]);
        self.network.watch(fuzz_node(place), &SERVICES);
    }

    /// Restarts a node. The new process starts some time later, so that its clock is above the incarnations of the old
    /// one.
    fn restart(&mut self, place: usize) {
        self.network.kill(fuzz_node(place));
        self.run(RESTART_TIME);
        self.start(place);
    }

    /// Introduces one running node to all others, as the table service would, because the peers in their settings may
    /// all be dead.
    fn introduce(&mut self) {
        let up: Vec<_> = self.network.up_nodes().map(|(node, _)| node).collect();
        let now = self.network.now;
        for node in &up {
            self.network.nodes[node].engine.introduce(now, up.first().copied());
        }
    }

    fn run(&mut self, duration: Duration) {
        let end = self.network.now + duration;
        while self.network.now < end {
            let step = end.since(self.network.now).min(Duration::from_millis(200));
            self.network.run(step);
            self.check_invariants();
        }
    }

    fn check_invariants(&mut self) {
        for (observer, state) in self.network.up_nodes() {
            let incarnation = state.engine.own_record().incarnation;
            let before = self.own.insert(observer, incarnation);
            assert!(before <= Some(incarnation), "own incarnation of {observer} decreased");
            for service in SERVICES {
                for record in state.engine.records(service) {
                    let key = (observer, state.start_count, record.node, service);
                    if let Some(before) = self.seen.insert(key, record.clone()) {
                        assert_ne!(
                            record.merge_order(&before),
                            Ordering::Less,
                            "{observer}: {before:?} became {record:?}"
                        );
                    }
                }
            }
            let sent = state.engine.status().counters.total_bytes();
            assert!(sent <= self.network.allowed_bytes(observer), "{observer} sent {sent}");
        }
    }
}

fn fuzz_node(place: usize) -> NodeId {
    node_id(place as u8 + 1)
}

struct MembershipFuzz;

impl StateMachineTest for MembershipFuzz {
    type SystemUnderTest = FuzzedNetwork;
    type Reference = ExpectedMembership;

    fn init_test(_: &Vec<ExpectedNode>) -> FuzzedNetwork {
        FuzzedNetwork::new()
    }

    fn apply(mut fuzzed: FuzzedNetwork, _: &Vec<ExpectedNode>, step: FuzzStep) -> FuzzedNetwork {
        let network = &mut fuzzed.network;
        match step {
            FuzzStep::Announce(node, service) => {
                network.announce(fuzz_node(node), SERVICES[service])
            }
            FuzzStep::Leave(node) => network.leave(fuzz_node(node)),
            FuzzStep::Kill(node) => network.kill(fuzz_node(node)),
            FuzzStep::Restart(node) => fuzzed.restart(node),
            FuzzStep::Pause(node) => network.pause(fuzz_node(node)),
            FuzzStep::Resume(node) => network.resume(fuzz_node(node)),
            FuzzStep::Cut(mask) => {
                (0..NODES).for_each(|node| {
                    network.set_side(fuzz_node(node), u32::from(mask >> node & 1))
                });
            }
            FuzzStep::Heal => network.heal(),
            FuzzStep::Loss(percent) => network.loss_percent = percent,
            FuzzStep::Delay(millis) => network.max_delay = Duration::from_millis(millis),
            FuzzStep::Run(millis) => fuzzed.run(Duration::from_millis(millis)),
        }
        fuzzed.check_invariants();
        fuzzed
    }

    fn teardown(mut fuzzed: FuzzedNetwork, mut truth: Vec<ExpectedNode>) {
        fuzzed.network.heal();
        fuzzed.network.loss_percent = 0;
        fuzzed.network.max_delay = Duration::from_millis(5);
        for (place, node) in truth.iter_mut().enumerate() {
            if node.process == ProcessState::Paused {
                fuzzed.network.resume(fuzz_node(place));
                node.process = ProcessState::Up;
            }
        }
        fuzzed.introduce();
        fuzzed.run(SETTLING_TIME);
        check_views(&fuzzed.network, &truth);
    }
}

/// Checks that each running node shows exactly the live members of each service, all of them alive.
fn check_views(network: &GossipNetwork, truth: &[ExpectedNode]) {
    for (number, service) in SERVICES.into_iter().enumerate() {
        let live = |place: &usize| {
            truth[*place].process == ProcessState::Up && truth[*place].service == Some(number)
        };
        let expected: Vec<_> = (0..truth.len())
            .filter(live)
            .map(|place| (fuzz_node(place), MemberState::Alive))
            .collect();
        for (observer, state) in network.up_nodes() {
            let shown = state.engine.members(service).map(|record| (record.node, record.state));
            let mut shown: Vec<_> = shown.collect();
            shown.sort_unstable();
            assert_eq!(shown, expected, "{service} as seen by {observer}");
        }
    }
}

prop_state_machine! {
    #![proptest_config(ProptestConfig { max_shrink_iters: 400, ..fuzz_config(48, 17) })]

    #[test]
    fn membership_agrees_with_the_oracle(sequential 1..40 => MembershipFuzz);
}
