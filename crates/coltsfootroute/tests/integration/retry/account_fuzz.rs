//! Stateful fuzzing of retry accounts against an oracle that is a plain set of ids.
//!
//! Callers anywhere in a call tree request tokens over a network that loses, duplicates and reorders messages, from a
//! ledger that may restart without its accounts.

use std::collections::BTreeSet;

use coltsfootroute::{
    id::RequestId,
    retry::{AccountLedger, AcquireResult, LedgerSettings},
    time::MonotonicTime,
};
use indexmap::IndexMap;
use proptest::prelude::*;
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};

use crate::util::fuzz_config::fuzz_config;

/// One step. An index selects one of the existing items, modulo their number.
#[derive(Clone, Debug)]
enum Step {
    /// A client request arrives.
    Open {
        budget: u32,
        life_ms: u64,
    },
    /// A nested call of an open request arrives at the ingress node, which opens the account again.
    Reopen(usize),
    /// A call somewhere in the tree failed, and its caller requests a token.
    Request(usize),
    /// A caller that received no answer repeats its message.
    Repeat(usize),
    Deliver(usize),
    Duplicate(usize),
    Lose(usize),
    Close(usize),
    Restart,
    Wait(u64),
}

#[derive(Clone, Copy, Debug)]
enum Message {
    Take { request: u128, id: u64 },
    Answer { request: u128, id: u64, granted: bool },
}

#[derive(Clone, Debug)]
struct OracleAccount {
    budget: u32,
    deadline: u64,
    granted: BTreeSet<u64>,
}

#[derive(Clone, Debug, Default)]
struct Oracle {
    now_ms: u64,
    /// Budgets of all requests, including closed and expired ones.
    budgets: IndexMap<u128, u32>,
    open: IndexMap<u128, OracleAccount>,
    network: Vec<Message>,
    /// Token ids that have not been answered yet, with their requests.
    waiting: IndexMap<u64, u128>,
    next_id: u64,
    /// Message delivered in the last step.
    delivered: Option<Message>,
}

const MARGIN_MS: u64 = 1_000;

impl Oracle {
    fn request_token(&mut self, request: u128) {
        self.next_id += 1;
        self.waiting.insert(self.next_id, request);
        self.network.push(Message::Take { request, id: self.next_id });
    }

    fn grants(&mut self, request: u128, id: u64) -> bool {
        let Some(account) = self.open.get_mut(&request) else { return false };
        if account.granted.contains(&id) {
            return true;
        }
        let room = account.granted.len() < account.budget as usize;
        let granted = room && self.now_ms < account.deadline;
        if granted {
            account.granted.insert(id);
        }
        granted
    }

    fn deliver(&mut self, index: usize) {
        let message = self.network.swap_remove(index);
        self.delivered = Some(message);
        match message {
            Message::Take { request, id } => {
                let granted = self.grants(request, id);
                self.network.push(Message::Answer { request, id, granted });
            }
            Message::Answer { request, id, granted } => {
                let waited = self.waiting.swap_remove(&id).is_some();
                if waited && granted {
                    // The retry runs its own subtree of calls, in which two more fail.
                    self.request_token(request);
                    self.request_token(request);
                }
            }
        }
    }
}

fn pick(index: usize, len: usize) -> Option<usize> {
    (len > 0).then(|| index % len)
}

impl ReferenceStateMachine for Oracle {
    type State = Self;
    type Transition = Step;

    fn init_state() -> BoxedStrategy<Self> {
        Just(Self::default()).boxed()
    }

    fn transitions(_: &Self) -> BoxedStrategy<Step> {
        prop_oneof![
            2 => (0..4u32, 1..500u64).prop_map(|(budget, life_ms)| Step::Open { budget, life_ms }),
            1 => any::<usize>().prop_map(Step::Reopen),
            4 => any::<usize>().prop_map(Step::Request),
            2 => any::<usize>().prop_map(Step::Repeat),
            12 => any::<usize>().prop_map(Step::Deliver),
            3 => any::<usize>().prop_map(Step::Duplicate),
            2 => any::<usize>().prop_map(Step::Lose),
            1 => any::<usize>().prop_map(Step::Close),
            1 => (0..8u32).prop_map(|n| if n == 0 { Step::Restart } else { Step::Wait(1) }),
            1 => (0..300u64).prop_map(Step::Wait),
        ]
        .boxed()
    }

    fn apply(mut state: Self, step: &Step) -> Self {
        state.delivered = None;
        match *step {
            Step::Open { budget, life_ms } => {
                let request = state.budgets.len() as u128;
                let deadline = state.now_ms + life_ms;
                let account = OracleAccount { budget, deadline, granted: BTreeSet::new() };
                state.budgets.insert(request, budget);
                state.open.insert(request, account);
            }
            Step::Reopen(_) => {}
            Step::Request(index) => {
                if let Some(index) = pick(index, state.budgets.len()) {
                    state.request_token(index as u128);
                }
            }
            Step::Repeat(index) => {
                if let Some(index) = pick(index, state.waiting.len()) {
                    let (&id, &request) = state.waiting.get_index(index).unwrap();
                    state.network.push(Message::Take { request, id });
                }
            }
            Step::Deliver(index) => {
                if let Some(index) = pick(index, state.network.len()) {
                    state.deliver(index);
                }
            }
            Step::Duplicate(index) => {
                if let Some(index) = pick(index, state.network.len()) {
                    state.network.push(state.network[index]);
                }
            }
            Step::Lose(index) => {
                if let Some(index) = pick(index, state.network.len()) {
                    state.network.swap_remove(index);
                }
            }
            Step::Close(index) => {
                if let Some(index) = pick(index, state.budgets.len()) {
                    state.open.swap_remove(&(index as u128));
                }
            }
            Step::Restart => state.open.clear(),
            Step::Wait(millis) => {
                state.now_ms += millis;
                let now = state.now_ms;
                state.open.retain(|_, account| now < account.deadline + MARGIN_MS);
            }
        }
        state
    }
}

struct LedgerUnderTest {
    ledger: AccountLedger,
    /// Number of retries sent by each request, which the budget bounds.
    retries: IndexMap<u128, u32>,
    waiting: BTreeSet<u64>,
}

fn new_ledger() -> AccountLedger {
    AccountLedger::new(LedgerSettings::default())
}

impl LedgerUnderTest {
    /// Acquires a token and counts the retry. Relies on the ledger's answer, not on the oracle's.
    fn acquire(&mut self, now: MonotonicTime, request: u128, id: u64) -> bool {
        let granted = self.ledger.acquire(now, RequestId(request), id) == AcquireResult::Granted;
        if granted && self.waiting.insert(id) {
            *self.retries.entry(request).or_default() += 1;
        }
        granted
    }
}

struct AccountFuzz;

impl StateMachineTest for AccountFuzz {
    type SystemUnderTest = LedgerUnderTest;
    type Reference = Oracle;

    fn init_test(_: &Oracle) -> LedgerUnderTest {
        LedgerUnderTest { ledger: new_ledger(), retries: IndexMap::new(), waiting: BTreeSet::new() }
    }

    fn apply(mut state: LedgerUnderTest, oracle: &Oracle, step: Step) -> LedgerUnderTest {
        let now = MonotonicTime::from_millis(oracle.now_ms);
        match step {
            Step::Open { budget, life_ms } => {
                let request = oracle.budgets.len() as u128 - 1;
                let deadline = MonotonicTime::from_millis(oracle.now_ms + life_ms);
                state.ledger.open(now, RequestId(request), budget, deadline);
            }
            Step::Reopen(index) => {
                if let Some(index) = pick(index, oracle.open.len()) {
                    let (&request, account) = oracle.open.get_index(index).unwrap();
                    let deadline = MonotonicTime::from_millis(account.deadline);
                    state.ledger.open(now, RequestId(request), account.budget, deadline);
                }
            }
            Step::Deliver(_) => {
                if let Some(Message::Take { request, id }) = oracle.delivered {
                    let granted = state.acquire(now, request, id);
                    let Some(Message::Answer { granted: expected, .. }) = oracle.network.last()
                    else {
                        panic!("a delivered token request has an answer");
                    };
                    assert_eq!(granted, *expected, "request {request}, id {id}");
                }
            }
            Step::Close(index) => {
                if let Some(index) = pick(index, oracle.budgets.len()) {
                    state.ledger.close(RequestId(index as u128));
                }
            }
            Step::Restart => state.ledger = new_ledger(),
            Step::Request(_)
            | Step::Repeat(_)
            | Step::Duplicate(_)
            | Step::Lose(_)
            | Step::Wait(_) => {}
        }
        state
    }

    fn check_invariants(state: &LedgerUnderTest, oracle: &Oracle) {
        for (request, &retries) in &state.retries {
            let budget = oracle.budgets[request];
            assert!(retries <= budget, "request {request}: {retries} retries, budget {budget}");
        }
        for (&request, account) in &oracle.open {
            let granted = state.ledger.granted(RequestId(request)).map(|count| count as usize);
            assert_eq!(granted, Some(account.granted.len()), "request {request}");
        }
    }
}

prop_state_machine! {
    #![proptest_config(fuzz_config(256, 0x0acc_0417))]

    #[test]
    fn retries_stay_within_the_budget(sequential 1..200 => AccountFuzz);
}
