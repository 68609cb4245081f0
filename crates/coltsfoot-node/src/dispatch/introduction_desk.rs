//! The node's row in the table service, by which newcomers find it, and the rows of others while this node
//! is a newcomer itself. Best effort, and never waited for by a call.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::Duration,
};

use coltsfootroute::{
    id::NodeId,
    membership::{IntroductionRow, IntroductionScan},
    name::ServiceName,
    table::{StoreUse, TableReply, TableRequest},
};
use rand::RngExt;
use tokio::{
    sync::Notify,
    time::{sleep, timeout},
};

use super::dispatcher::Dispatcher;
use crate::gossip::GossipCommand;

/// Time one request to the table service may take.
const STORE_DEADLINE: Duration = Duration::from_secs(2);
/// Pause before a row that could not be written is written again; jittered.
const WRITE_PAUSE: Duration = Duration::from_secs(30);
/// Time that peers of the settings have to answer before the table service is asked; jittered.
const FIRST_SCAN_PAUSE: Duration = Duration::from_secs(1);
/// Longest pause between two scans of a node that has found nobody; jittered.
const LONGEST_SCAN_PAUSE: Duration = Duration::from_secs(10);
/// How long a leaving node waits for its row to be gone.
const REMOVE_WAIT: Duration = Duration::from_millis(500);

/// The node's own row.
#[derive(Default)]
pub struct IntroductionDesk {
    /// Service under which the row shall stand.
    wanted: RefCell<Option<ServiceName>>,
    /// Service under which it stands, or may stand.
    written: RefCell<Option<ServiceName>>,
    /// Whether it stands for certain. Invariant: only while `written` is something.
    is_certain: Cell<bool>,
    wanted_changed: Notify,
    written_changed: Notify,
}

impl IntroductionDesk {
    /// The row shall stand under `service`, or be gone.
    pub fn want(&self, service: Option<ServiceName>) {
        *self.wanted.borrow_mut() = service;
        self.wanted_changed.notify_one();
    }

    fn is_settled(&self) -> bool {
        let wanted = self.wanted.borrow();
        *wanted == *self.written.borrow() && self.is_certain.get() == wanted.is_some()
    }

    fn note(&self, written: Option<ServiceName>, is_certain: bool) {
        *self.written.borrow_mut() = written;
        self.is_certain.set(is_certain);
        self.written_changed.notify_one();
    }

    /// Waits until the row stands as wanted, up to a bound.
    pub async fn settle(&self) {
        let settled = async {
            while !self.is_settled() {
                self.written_changed.notified().await;
            }
        };
        // Past the bound the row stays and is stale: whoever reads it asks the node itself.
        let _ = timeout(REMOVE_WAIT, settled).await;
    }
}

impl Dispatcher {
    /// Keeps the node's own row as wanted.
    pub(super) async fn keep_introduced(self: Rc<Self>) {
        loop {
            let pause = match self.settle_introduction().await {
                true => None,
                false => Some(self.jittered(WRITE_PAUSE)),
            };
            let changed = self.introduction.wanted_changed.notified();
            match pause {
                Some(pause) => drop(timeout(pause, changed).await),
                None => changed.await,
            }
        }
    }

    /// Removes and writes what is due; returns whether the row stands as wanted.
    async fn settle_introduction(&self) -> bool {
        let wanted = self.introduction.wanted.borrow().clone();
        let written = self.introduction.written.borrow().clone();
        if let Some(service) = written.filter(|service| wanted.as_ref() != Some(service)) {
            if !self.change_row(self.introduction_row(service).remove()).await {
                return false;
            }
            self.introduction.note(None, false);
        }
        if let Some(service) = wanted.filter(|_| !self.introduction.is_certain.get()) {
            let done = self.change_row(self.introduction_row(service.clone()).write()).await;
            // A write without an answer may stand all the same, and is removed like one that does.
            self.introduction.note(Some(service), done);
        }
        self.introduction.is_settled()
    }

    fn introduction_row(&self, service: ServiceName) -> IntroductionRow {
        IntroductionRow {
            service,
            node: self.identity.node,
            incarnation: self.identity.incarnation,
        }
    }

    async fn change_row(&self, request: TableRequest) -> bool {
        self.ask_introductions(request).await == TableReply::Committed
    }

    async fn ask_introductions(&self, request: TableRequest) -> TableReply {
        self.once.store.request(request, STORE_DEADLINE, StoreUse::Introduction).await
    }

    /// Looks for other nodes in the table service until one has answered.
    pub(super) async fn find_others(self: Rc<Self>) {
        let mut scan = IntroductionScan::new(&mut *self.rng.borrow_mut());
        let mut pause = FIRST_SCAN_PAUSE;
        loop {
            sleep(self.jittered(pause)).await;
            if self.has_joined().await {
                return;
            }
            let found = self.scan_introductions(&mut scan).await;
            // A closed ring means that the process stops.
            let _ = self.gossip.send(GossipCommand::Introduce(found)).await;
            pause = (pause * 2).min(LONGEST_SCAN_PAUSE);
        }
    }

    async fn scan_introductions(&self, scan: &mut IntroductionScan) -> Vec<NodeId> {
        let reply = self.ask_introductions(scan.request()).await;
        let found = scan.take(&reply);
        if !found.is_empty() || !scan.is_at_start() {
            return found;
        }
        // Started behind the last row.
        let reply = self.ask_introductions(scan.request()).await;
        scan.take(&reply)
    }

    async fn has_joined(&self) -> bool {
        // Without the gossip duty the process stops: there is nothing to join.
        self.ask_gossip().await.is_none_or(|status| status.joined)
    }

    /// `pause`, up to half of it shorter or longer: nodes that start together must not ask together.
    fn jittered(&self, pause: Duration) -> Duration {
        pause.mul_f64(self.rng.borrow_mut().random_range(0.5..1.5))
    }
}
