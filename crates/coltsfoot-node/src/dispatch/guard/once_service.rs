//! The claims of this node: what must be stored or released.

use std::{cell::RefCell, time::Duration};

use coltsfootroute::{
    once::{ClaimHolder, OnceGuard, OnceSettings, TaskReply, TaskRequest},
    table::StoreUse,
};
use tokio::sync::Notify;

use crate::store::StoreHandle;

/// Time for one errand to the store.
pub(super) const STORE_TASK_TIMEOUT: Duration = Duration::from_secs(2);
/// All nodes together sweep about once in so long.
const SWEEP_PERIOD: Duration = Duration::from_secs(60);

/// The claims of this node.
pub struct OnceService {
    pub(super) guard: RefCell<OnceGuard>,
    pub(super) store: StoreHandle,
    /// Woken when an errand may have come up.
    pub(super) tasks_changed: Notify,
    /// Woken when a claim was settled in the table.
    pub(super) settled: Notify,
    /// Longest time that a caller's answer waits for its record.
    pub(super) answer_wait: Duration,
    pub(super) sweep_period: Duration,
}

impl OnceService {
    /// No claims yet; `nodes` is the number of nodes that share the sweeping.
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

    /// Asks the store what a claim owes it.
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
