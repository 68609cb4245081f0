//! Claims of this node, and the store tasks that record or release them.

use std::{cell::RefCell, time::Duration};

use coltsfootroute::{
    once::{ClaimHolder, OnceGuard, OnceSettings, TaskReply, TaskRequest},
    table::StoreUse,
};
use tokio::sync::Notify;

use crate::store::StoreHandle;

/// Timeout of one request of a store task.
pub(super) const STORE_TASK_TIMEOUT: Duration = Duration::from_secs(2);
/// Average time between two sweeps, over all nodes together.
const SWEEP_PERIOD: Duration = Duration::from_secs(60);

/// The claims of this node.
pub struct OnceService {
    pub(super) guard: RefCell<OnceGuard>,
    pub(super) store: StoreHandle,
    /// Notified when a store task may be due.
    pub(super) tasks_changed: Notify,
    /// Notified when a claim was settled in the table.
    pub(super) settled: Notify,
    /// Longest time that a caller's answer is delayed until its record is stored.
    pub(super) answer_wait: Duration,
    pub(super) sweep_period: Duration,
}

impl OnceService {
    /// Creates a service without claims; `nodes` is the number of nodes that share the sweeps.
    pub fn new(holder: ClaimHolder, store: StoreHandle, nodes: u32) -> Self {
        let settings = OnceSettings::default();
        Self {
            answer_wait: settings.max_answer_wait,
            guard: RefCell::new(OnceGuard::new(holder, settings)),
            store,
            tasks_changed: Notify::new(),
            settled: Notify::new(),
            sweep_period: SWEEP_PERIOD.saturating_mul(nodes.max(1)),
        }
    }

    /// Sends the request of a store task, and returns the reply.
    pub async fn carry_out(&self, request: TaskRequest) -> TaskReply {
        match request {
            TaskRequest::Table(request) => TaskReply::Table(
                self.store.request(request, STORE_TASK_TIMEOUT, StoreUse::Answer).await,
            ),
            TaskRequest::PutObject { name, body } => TaskReply::Object(
                self.store.put_object(&name, body.into(), STORE_TASK_TIMEOUT).await,
            ),
        }
    }
}
