//! The node's rows in the table service: the one by which newcomers find it, and the one by which it finds
//! its upstream again after a restart. Also the rows of others while this node is a newcomer itself. Best
//! effort, and never waited for by a call.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::Duration,
};

use coltsfootroute::{
    id::NodeId,
    membership::{InstanceName, IntroductionRow, IntroductionScan},
    name::ServiceName,
    table::{RowCondition, RowKey, RowWrite, StoreUse, TableReply, TableRequest},
};
use rand::RngExt;
use tokio::{
    sync::Notify,
    time::{sleep, timeout},
};

use super::{dispatcher::Dispatcher, local_upstream::UpstreamAnnouncement};
use crate::{gossip::GossipCommand, journal::LOG_TARGET};

/// Time one request to the table service may take.
const STORE_DEADLINE: Duration = Duration::from_secs(2);
/// Pause before a row that could not be written is written again; jittered.
const WRITE_PAUSE: Duration = Duration::from_secs(30);
/// Time that peers of the settings have to answer before the table service is asked; jittered.
const PEER_TIME: Duration = Duration::from_secs(1);
/// Pause before the table service is asked where the settings name no peers; jittered, so that nodes that
/// start together find each other's rows.
const FIRST_SCAN_PAUSE: Duration = Duration::from_millis(100);
/// Longest pause between two scans of a node that has found nobody; jittered.
const LONGEST_SCAN_PAUSE: Duration = Duration::from_secs(10);
/// Pause between two looks for watched services without a member, without a call to the table service while
/// there is none; jittered. Gossip brings most services in this time, and each read has its price. Twice as long
/// after each read, up to [`LONGEST_SCAN_PAUSE`].
const MEMBER_CHECK_PAUSE: Duration = Duration::from_millis(1_200);
/// How long a leaving node waits for its row to be gone.
const REMOVE_WAIT: Duration = Duration::from_millis(500);

/// How long the first heartbeats wait for what the life before this one has written: well within the second
/// after which an upstream counts its heartbeat as lost.
const RESUME_WAIT: Duration = Duration::from_millis(700);

/// Start of the keys of the rows by which nodes find their upstreams again.
const UPSTREAM_PREFIX: &str = "upstream/";

/// The row by which a node finds its upstream again after a restart.
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(untagged)]
enum UpstreamRow {
    /// The upstream is there.
    Serving(UpstreamAnnouncement),
    /// The upstream has left: a late heartbeat of it changes nothing, whichever life of the node it reaches.
    Departed {
        /// The life that has left.
        departed: InstanceName,
    },
}

/// The upstream that the node's rows speak of.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct IntroducedUpstream {
    /// Its service.
    pub service: ServiceName,
    /// Its life, if it names itself.
    pub instance: Option<InstanceName>,
}

/// The node's own rows.
#[derive(Default)]
pub struct IntroductionDesk {
    /// What the rows shall speak of.
    wanted: RefCell<Option<IntroducedUpstream>>,
    /// What they speak of, or may speak of.
    written: RefCell<Option<IntroducedUpstream>>,
    /// Whether they stand for certain. Invariant: only while `written` is something.
    is_certain: Cell<bool>,
    /// Life of the upstream whose leave the row shall tell of. Invariant: only while nothing is `wanted`.
    departed: RefCell<Option<InstanceName>>,
    /// Whether the row tells of it.
    is_departed_written: Cell<bool>,
    /// Whether what the life before this one has written is known, or past finding out.
    has_resumed: Cell<bool>,
    resumed: Notify,
    wanted_changed: Notify,
    written_changed: Notify,
}

impl IntroductionDesk {
    /// The rows shall speak of `upstream`, or be gone.
    pub fn want(&self, upstream: Option<IntroducedUpstream>) {
        if upstream.is_some() {
            self.departed.take();
        }
        *self.wanted.borrow_mut() = upstream;
        self.wanted_changed.notify_one();
    }

    /// The upstream has said itself that it leaves: the rows shall tell of that.
    pub fn depart(&self, instance: InstanceName) {
        self.wanted.take();
        *self.departed.borrow_mut() = Some(instance);
        self.is_departed_written.set(false);
        self.wanted_changed.notify_one();
    }

    fn is_settled(&self) -> bool {
        let wanted = self.wanted.borrow();
        let tells = self.departed.borrow().is_none() || self.is_departed_written.get();
        *wanted == *self.written.borrow() && self.is_certain.get() == wanted.is_some() && tells
    }

    /// Waits until it is known what the life before this one has written, up to a bound.
    pub async fn await_resumed(&self) {
        if self.has_resumed.get() {
            return;
        }
        // Past the bound the store is down or slow: the heartbeat counts as it is.
        let _ = timeout(RESUME_WAIT, self.resumed.notified()).await;
    }

    fn note_resumed(&self) {
        self.has_resumed.set(true);
        self.resumed.notify_waiters();
    }

    fn note(&self, written: Option<IntroducedUpstream>, is_certain: bool) {
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
        let is_certain = self.introduction.is_certain.get() && written == wanted;
        let moves_from = written.filter(|written| {
            wanted.as_ref().is_none_or(|wanted| wanted.service != written.service)
        });
        if let Some(upstream) = moves_from {
            let remove = self.introduction_row(upstream.service).remove();
            if !self.change_row(with_write(remove, self.upstream_write(None))).await {
                return false;
            }
            self.introduction.note(None, false);
        }
        if !self.settle_departed().await {
            return false;
        }
        if let Some(upstream) = wanted.filter(|_| !is_certain) {
            let write = self.introduction_row(upstream.service.clone()).write();
            let done = self.change_row(with_write(write, self.resumable_write())).await;
            // A write without an answer may stand all the same, and is removed like one that does.
            self.introduction.note(Some(upstream), done);
        }
        self.introduction.is_settled()
    }

    /// Tells of the upstream's leave if that is due; returns whether it is told.
    async fn settle_departed(&self) -> bool {
        let departed = self.introduction.departed.borrow().clone();
        let Some(departed) = departed.filter(|_| !self.introduction.is_departed_written.get())
        else {
            return true;
        };
        let row = UpstreamRow::Departed { departed: departed.clone() };
        // A name always has a JSON form.
        let write = self.upstream_write(serde_json::to_string(&row).ok());
        let request = TableRequest::Transact(write.into_iter().collect());
        if !self.change_row(request).await {
            return false;
        }
        if self.introduction.departed.borrow().as_ref() == Some(&departed) {
            self.introduction.is_departed_written.set(true);
            self.introduction.written_changed.notify_one();
        }
        true
    }

    fn introduction_row(&self, service: ServiceName) -> IntroductionRow {
        IntroductionRow {
            service,
            node: self.identity.node,
            incarnation: self.identity.incarnation,
        }
    }

    /// The write by which a restart finds the upstream again; `None` where it does not name its lives, since
    /// another one might have its address by then.
    fn resumable_write(&self) -> Option<RowWrite> {
        let upstream = self.guard.upstream.borrow();
        let announcement = &upstream.as_ref()?.announcement;
        announcement.instance.as_ref()?;
        // Names, addresses and numbers always have a JSON form.
        let row = UpstreamRow::Serving(announcement.clone());
        self.upstream_write(serde_json::to_string(&row).ok())
    }

    /// The write of the upstream's row, or its removal; `None` where no upstream is resumed.
    fn upstream_write(&self, value: Option<String>) -> Option<RowWrite> {
        let write = RowWrite { key: self.upstream_key(), condition: RowCondition::Any, value };
        self.upstream_client.checks_instance().then_some(write)
    }

    fn upstream_key(&self) -> RowKey {
        RowKey::new(&format!("{UPSTREAM_PREFIX}{}", self.identity.node))
    }

    /// Takes the upstream up again that the life before this one guarded: its next heartbeat may be seconds
    /// away. Another instance at its address refuses what is not meant for it.
    pub(super) async fn resume_upstream(self: Rc<Self>) {
        if self.upstream_client.checks_instance() {
            self.take_up_row().await;
        }
        self.introduction.note_resumed();
    }

    async fn take_up_row(&self) {
        let read = TableRequest::Read(self.upstream_key());
        let TableReply::Rows(rows) = self.ask_introductions(read).await else { return };
        let Some(row) = rows.first() else { return };
        let announcement = match serde_json::from_str(&row.value) {
            Ok(UpstreamRow::Serving(announcement)) => announcement,
            Ok(UpstreamRow::Departed { departed }) => {
                if self.guard.instances.borrow_mut().leave(&departed) {
                    self.withdraw_named().await;
                }
                return;
            }
            Err(err) => {
                log::warn!(
                    target: LOG_TARGET,
                    "level=warn event=upstream-row-faulty error={:?}", err.to_string()
                );
                return;
            }
        };
        let Some(instance) = announcement.instance.clone() else { return };
        let is_first = self.guard.instances.borrow_mut().resume(&instance);
        if is_first {
            self.announce_upstream(announcement).await;
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
        let mut pause = if self.has_peers { PEER_TIME } else { FIRST_SCAN_PAUSE };
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

    /// Looks in the table service for members of watched services of which none is known: gossip alone comes by
    /// a small service late, while everyone starts.
    pub(super) async fn find_members(self: Rc<Self>) {
        let mut pause = MEMBER_CHECK_PAUSE;
        loop {
            sleep(self.jittered(pause)).await;
            let missing = self.services_without_members();
            pause = match missing.is_empty() {
                true => MEMBER_CHECK_PAUSE,
                false => (pause * 2).min(LONGEST_SCAN_PAUSE),
            };
            for service in missing {
                let mut scan = IntroductionScan::of_service(&service);
                let reply = self.ask_introductions(scan.request()).await;
                let found = scan.take(&reply);
                // A closed ring means that the process stops.
                let _ = self.gossip.send(GossipCommand::Ask(found)).await;
            }
        }
    }

    fn services_without_members(&self) -> Vec<ServiceName> {
        let pools = self.pools.borrow();
        let empty = pools.iter().filter(|(_, entry)| entry.pool.is_empty());
        empty.map(|(service, _)| service.clone()).collect()
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

/// Adds a write to a transaction.
fn with_write(request: TableRequest, write: Option<RowWrite>) -> TableRequest {
    match request {
        TableRequest::Transact(mut writes) => {
            writes.extend(write);
            TableRequest::Transact(writes)
        }
        other => other,
    }
}
