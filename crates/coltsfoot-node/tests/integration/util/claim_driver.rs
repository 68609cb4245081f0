//! Drives a guard's claims through the store thread, as the daemon does.

use std::time::Duration;

use coltsfoot_node::store::StoreHandle;
use coltsfootroute::{
    id::{Incarnation, NodeId},
    name::{OperationName, ServiceName},
    once::{
        BodyDigest, ClaimHolder, ClaimId, ClaimResult, ClaimStep, ClientKey, DispatchVerdict,
        OnceCall, OnceGuard, OnceKey, OnceSettings, RunAnswer, StoreTask, WallTime,
    },
    table::StoreUse,
    time::MonotonicTime,
};

use super::store_fixture::LONG;

/// Fixed time for the guard, so that no deadline passes and no task has to wait.
const NOW: MonotonicTime = MonotonicTime::from_millis(1);

pub struct ClaimDriver {
    pub guard: OnceGuard,
    store: StoreHandle,
}

impl ClaimDriver {
    pub fn new(store: &StoreHandle, port: u16) -> Self {
        let node = NodeId(([127, 0, 0, 1], port).into());
        let holder = ClaimHolder { node, incarnation: Incarnation(1) };
        let settings = OnceSettings { task_retry_delay: Duration::ZERO, ..OnceSettings::default() };
        Self { guard: OnceGuard::new(holder, settings), store: store.clone() }
    }

    pub async fn claim(&mut self, claim_id: u128, key: &str) -> ClaimResult {
        let claim_id = ClaimId(claim_id);
        let call = OnceCall {
            key: OnceKey {
                service: ServiceName::new("payments"),
                operation: OperationName::new("submit-fee"),
                client_key: ClientKey::new(key),
            },
            body_digest: BodyDigest::of(b"pay 10"),
            retention: LONG,
            deadline: NOW + LONG,
        };
        let mut step = self.guard.begin(call, claim_id, WallTime(1));
        loop {
            match step {
                ClaimStep::Send(request) => {
                    let reply = self.store.request(request, LONG, StoreUse::Claim).await;
                    step = self.guard.on_reply(claim_id, &reply, NOW).expect("still claiming");
                }
                ClaimStep::Done(result) => return result,
            }
        }
    }

    /// Runs a claimed call, which is answered with `body`.
    pub fn run(&mut self, result: ClaimResult, body: Vec<u8>) {
        let ClaimResult::Dispatch(ticket) = result else { panic!("{result:?}") };
        let verdict = self.guard.dispatch(ticket, NOW);
        let DispatchVerdict::Run(run) = verdict else { panic!("{verdict:?}") };
        let answer = RunAnswer { status: 200, headers: Vec::new(), body };
        self.guard.finish(run, answer, NOW);
    }

    /// Runs store tasks until none is pending.
    pub async fn settle(&mut self) {
        while let Some(task) = self.guard.next_task(NOW) {
            self.run_task(task).await;
        }
    }

    async fn run_task(&mut self, task: StoreTask) {
        let mut next = Some(task);
        while let Some(StoreTask { claim_id, request }) = next {
            let reply = self.store.run_task(request, LONG).await;
            next = self.guard.on_task_reply(claim_id, &reply, NOW);
        }
    }
}
