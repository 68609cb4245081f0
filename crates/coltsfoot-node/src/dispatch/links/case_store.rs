//! Stores cases of requests that crash their upstreams as rows in the table service, so that they survive restarts of
//! the nodes.

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

/// Timeout of one request to the table service.
const STORE_TIMEOUT: Duration = Duration::from_secs(2);
/// Pause before the first retry of a request to the table service; doubled for each retry up to `MAX_STORE_PAUSE`.
const FIRST_STORE_PAUSE: Duration = Duration::from_millis(500);
/// Longest pause between two attempts of a request to the table service.
const MAX_STORE_PAUSE: Duration = Duration::from_secs(10);
/// Longest time that an operator's request waits for its change to be written: several times as long as a write takes.
const MAX_WRITE_WAIT: Duration = Duration::from_secs(1);

/// Reads the rows of all cases, and writes those of the cases that this node is responsible for.
pub(super) struct CaseStore {
    context: Rc<NodeContext>,
    store: StoreHandle,
    /// Cases waiting to be written, oldest first.
    unwritten: RefCell<IndexMap<RequestFingerprint, CaseTerm>>,
    unwritten_changed: Notify,
    written: Notify,
}

impl CaseStore {
    /// Creates a case store with no cases to write.
    pub(super) fn new(context: Rc<NodeContext>, store: StoreHandle) -> Self {
        let unwritten = RefCell::default();
        Self { context, store, unwritten, unwritten_changed: Notify::new(), written: Notify::new() }
    }

    /// Queues the case for writing to the table service.
    pub(super) fn queue_write(&self, fingerprint: RequestFingerprint, term: CaseTerm) {
        self.unwritten.borrow_mut().insert(fingerprint, term);
        self.unwritten_changed.notify_one();
    }

    /// Waits until no write of the case is pending, for at most `MAX_WRITE_WAIT`; returns whether none is.
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

    /// Writes queued cases to the table service as they arrive; never returns.
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
                // A conflicting row was written by another node for the same case.
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

    /// Reads all cases from the table service, retrying until it answers.
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

    /// Claims the single trial of a case.
    pub(super) async fn claim_trial(
        &self,
        fingerprint: RequestFingerprint,
        term: CaseTerm,
    ) -> TrialClaim {
        TrialClaim::of(&self.request(trial_claim(fingerprint, term)).await)
    }

    /// Waits for about `pause` before the next request to the table service; returns the pause after that.
    async fn await_store(&self, pause: Duration) -> Duration {
        sleep(self.context.jittered(pause)).await;
        (pause * 2).min(MAX_STORE_PAUSE)
    }

    async fn request(&self, request: TableRequest) -> TableReply {
        self.store.request(request, STORE_TIMEOUT, StoreUse::Quarantine).await
    }
}
