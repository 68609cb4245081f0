//! How cases of requests that end their upstreams outlast the nodes: their rows in the table service.

use std::{cell::RefCell, rc::Rc, time::Duration};

use coltsfootroute::{
    quarantine::{CaseNote, CaseTerm, QuarantineRow, RequestFingerprint, TrialClaim, trial_claim},
    table::{StoreUse, TableReply, TableRequest},
};
use indexmap::IndexMap;
use tokio::{
    sync::Notify,
    time::{sleep, timeout},
};

use crate::{
    clock::wall_millis, dispatch::context::NodeContext, journal::LOG_TARGET, store::StoreHandle,
};

/// Time one request to the table service may take.
const STORE_TIMEOUT: Duration = Duration::from_secs(2);
/// First pause until the table service is asked again, doubled up to the longest.
const FIRST_STORE_PAUSE: Duration = Duration::from_millis(500);
/// Longest pause until the table service is asked again.
const MAX_STORE_PAUSE: Duration = Duration::from_secs(10);
/// How long an operator waits for what was changed to be written down: several times what a write takes.
const MAX_WRITE_WAIT: Duration = Duration::from_secs(1);

/// The rows of cases, as far as they are this node's to write.
pub(super) struct CaseStore {
    context: Rc<NodeContext>,
    store: StoreHandle,
    /// Cases to write down, the one that has waited longest first.
    unwritten: RefCell<IndexMap<RequestFingerprint, CaseTerm>>,
    unwritten_changed: Notify,
    written: Notify,
}

impl CaseStore {
    /// Nothing to write yet.
    pub(super) fn new(context: Rc<NodeContext>, store: StoreHandle) -> Self {
        let unwritten = RefCell::default();
        Self { context, store, unwritten, unwritten_changed: Notify::new(), written: Notify::new() }
    }

    /// The case is to be written down.
    pub(super) fn queue_write(&self, fingerprint: RequestFingerprint, term: CaseTerm) {
        self.unwritten.borrow_mut().insert(fingerprint, term);
        self.unwritten_changed.notify_one();
    }

    /// Waits until nothing of the case is left to write down, up to a bound; returns whether that is so.
    pub(super) async fn await_written(&self, fingerprint: RequestFingerprint) -> bool {
        let written = async {
            loop {
                let changed = self.written.notified();
                if !self.unwritten.borrow().contains_key(&fingerprint) {
                    return;
                }
                changed.await;
            }
        };
        timeout(MAX_WRITE_WAIT, written).await.is_ok()
    }

    /// Writes cases down as they come.
    pub(super) async fn write_cases(&self) {
        let mut pause = FIRST_STORE_PAUSE;
        loop {
            let changed = self.unwritten_changed.notified();
            let next = self.unwritten.borrow().first().map(|(case, term)| (*case, *term));
            let Some((fingerprint, term)) = next else {
                changed.await;
                continue;
            };
            let row = QuarantineRow { term, changed_ms: wall_millis() };
            match self.request(row.write(fingerprint)).await {
                TableReply::Unavailable | TableReply::Uncertain => {
                    pause = self.await_store(pause).await;
                }
                // A row that stands is another node's, of the same case.
                TableReply::Committed | TableReply::Conflict(_) | TableReply::Rows(_) => {
                    self.note_written(fingerprint, term);
                    pause = FIRST_STORE_PAUSE;
                }
            }
        }
    }

    fn note_written(&self, fingerprint: RequestFingerprint, term: CaseTerm) {
        let mut unwritten = self.unwritten.borrow_mut();
        if unwritten.get(&fingerprint) == Some(&term) {
            unwritten.shift_remove(&fingerprint);
        }
        self.written.notify_waiters();
    }

    /// The cases that stand in the table service; asks until it answers.
    pub(super) async fn read_cases(&self) -> Vec<CaseNote> {
        let mut pause = FIRST_STORE_PAUSE;
        loop {
            if let TableReply::Rows(rows) = self.request(QuarantineRow::scan()).await {
                let wall = wall_millis();
                let cases = rows.iter().filter_map(|row| QuarantineRow::read(row, wall));
                let cases: Vec<_> = cases.collect();
                if cases.len() < rows.len() {
                    let faulty = rows.len() - cases.len();
                    log::warn!(
                        target: LOG_TARGET,
                        "level=warn event=quarantine-rows-faulty count={faulty}"
                    );
                }
                return cases;
            }
            pause = self.await_store(pause).await;
        }
    }

    /// Asks for the one trial of a case.
    pub(super) async fn claim_trial(
        &self,
        fingerprint: RequestFingerprint,
        term: CaseTerm,
    ) -> TrialClaim {
        TrialClaim::of(&self.request(trial_claim(fingerprint, term)).await)
    }

    /// Waits for about `pause` until the table service may be asked again; returns the next pause.
    async fn await_store(&self, pause: Duration) -> Duration {
        sleep(self.context.jittered(pause)).await;
        (pause * 2).min(MAX_STORE_PAUSE)
    }

    async fn request(&self, request: TableRequest) -> TableReply {
        self.store.request(request, STORE_TIMEOUT, StoreUse::Quarantine).await
    }
}
