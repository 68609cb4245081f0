//! The node's rows in the table service: the one by which newcomers find it, and the one by which it finds
//! its upstream again after a restart. Best effort, and never waited for by a call.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::Duration,
};

use coltsfootroute::{
    membership::{InstanceLife, IntroductionRow},
    name::ServiceName,
    table::{RowCondition, RowKey, RowWrite, TableReply, TableRequest},
};
use tokio::{sync::Notify, time::timeout};

use super::{IntroducedUpstream, IntroductionStore, UpstreamAnnouncement, UpstreamRow};
use crate::{dispatch::context::NodeContext, journal::LOG_TARGET};

/// Pause before a row that could not be written is written again; jittered.
const WRITE_PAUSE: Duration = Duration::from_secs(30);
/// How long a leaving node waits for its row to be gone.
const REMOVE_WAIT: Duration = Duration::from_millis(500);

/// How long the first heartbeats wait for what the life before this one has written: well within the second
/// after which an upstream counts its heartbeat as lost.
const RESUME_WAIT: Duration = Duration::from_millis(700);

/// Start of the keys of the rows by which nodes find their upstreams again.
const UPSTREAM_PREFIX: &str = "upstream/";

/// The node's own rows.
pub struct IntroductionDesk {
    context: Rc<NodeContext>,
    store: IntroductionStore,
    /// Whether the upstream is found again after a restart: it refuses calls that are meant for another life of it.
    resumes: bool,
    /// What the upstream that the rows shall speak of says of itself.
    announcement: RefCell<Option<UpstreamAnnouncement>>,
    /// What the rows shall speak of.
    wanted: RefCell<Option<IntroducedUpstream>>,
    /// What they speak of, or may speak of.
    written: RefCell<Option<IntroducedUpstream>>,
    /// Whether they stand for certain. Invariant: only while `written` is something.
    is_certain: Cell<bool>,
    /// Life of the upstream whose leave the row shall tell of. Invariant: only while nothing is `wanted`.
    departed: RefCell<Option<InstanceLife>>,
    /// Whether the row tells of it.
    is_departed_written: Cell<bool>,
    /// Whether what the life before this one has written is known, or past finding out.
    has_resumed: Cell<bool>,
    resumed: Notify,
    wanted_changed: Notify,
    written_changed: Notify,
    /// Woken with `written_changed`, for whoever waits for the first write.
    introduced: Notify,
}

impl IntroductionDesk {
    /// No rows yet; `resumes` says whether the upstream refuses calls that are meant for another life of it.
    pub fn new(context: Rc<NodeContext>, store: IntroductionStore, resumes: bool) -> Self {
        Self {
            context,
            store,
            resumes,
            announcement: RefCell::default(),
            wanted: RefCell::default(),
            written: RefCell::default(),
            is_certain: Cell::default(),
            departed: RefCell::default(),
            is_departed_written: Cell::default(),
            has_resumed: Cell::default(),
            resumed: Notify::new(),
            wanted_changed: Notify::new(),
            written_changed: Notify::new(),
            introduced: Notify::new(),
        }
    }

    /// The rows shall speak of the upstream that announced itself so.
    pub fn want(&self, announcement: &UpstreamAnnouncement) {
        self.departed.take();
        *self.wanted.borrow_mut() = Some(IntroducedUpstream {
            service: announcement.service.clone(),
            instance: announcement.life(),
        });
        *self.announcement.borrow_mut() = Some(announcement.clone());
        self.wanted_changed.notify_one();
    }

    /// The rows shall be gone.
    pub fn retract(&self) {
        self.wanted.take();
        self.wanted_changed.notify_one();
    }

    /// The upstream has said itself that it leaves: the rows shall tell of that.
    pub fn depart(&self, instance: InstanceLife) {
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

    /// What the life before this one has written is known, or past finding out.
    pub fn note_resumed(&self) {
        self.has_resumed.set(true);
        self.resumed.notify_waiters();
    }

    fn note(&self, written: Option<IntroducedUpstream>, is_certain: bool) {
        *self.written.borrow_mut() = written;
        self.is_certain.set(is_certain);
        self.written_changed.notify_one();
        self.introduced.notify_waiters();
    }

    /// Waits until the node's own row has been written, or has been tried to be.
    pub async fn introduced(&self) {
        loop {
            let changed = self.introduced.notified();
            if self.written.borrow().is_some() {
                return;
            }
            changed.await;
        }
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

    /// Keeps the node's own row as wanted.
    pub async fn keep_introduced(self: Rc<Self>) {
        loop {
            let pause = match self.settle_introduction().await {
                true => None,
                false => Some(self.context.jittered(WRITE_PAUSE)),
            };
            let changed = self.wanted_changed.notified();
            match pause {
                Some(pause) => drop(timeout(pause, changed).await),
                None => changed.await,
            }
        }
    }

    /// Removes and writes what is due; returns whether the row stands as wanted.
    async fn settle_introduction(&self) -> bool {
        let wanted = self.wanted.borrow().clone();
        let written = self.written.borrow().clone();
        let is_certain = self.is_certain.get() && written == wanted;
        let moves_from = written.filter(|written| {
            wanted.as_ref().is_none_or(|wanted| wanted.service != written.service)
        });
        if let Some(upstream) = moves_from {
            let remove = self.introduction_row(upstream.service).remove();
            if !self.store.change_own(with_write(remove, self.upstream_write(None))).await {
                return false;
            }
            self.note(None, false);
        }
        if !self.settle_departed().await {
            return false;
        }
        if let Some(upstream) = wanted.filter(|_| !is_certain) {
            let write = self.introduction_row(upstream.service.clone()).write();
            let done = self.store.change_own(with_write(write, self.resumable_write())).await;
            // A write without an answer may stand all the same, and is removed like one that does.
            self.note(Some(upstream), done);
        }
        self.is_settled()
    }

    /// Tells of the upstream's leave if that is due; returns whether it is told.
    async fn settle_departed(&self) -> bool {
        let departed = self.departed.borrow().clone();
        let Some(departed) = departed.filter(|_| !self.is_departed_written.get()) else {
            return true;
        };
        let row = UpstreamRow::Departed { departed: departed.name.clone(), born: departed.born };
        // A name always has a JSON form.
        let write = self.upstream_write(serde_json::to_string(&row).ok());
        let request = TableRequest::Transact(write.into_iter().collect());
        if !self.store.change_own(request).await {
            return false;
        }
        if self.departed.borrow().as_ref() == Some(&departed) {
            self.is_departed_written.set(true);
            self.written_changed.notify_one();
        }
        true
    }

    fn introduction_row(&self, service: ServiceName) -> IntroductionRow {
        IntroductionRow {
            service,
            node: self.context.identity.node,
            incarnation: self.context.identity.incarnation,
        }
    }

    /// The write by which a restart finds the upstream again; `None` where it does not name its lives, since
    /// another one might have its address by then.
    fn resumable_write(&self) -> Option<RowWrite> {
        let announcement = self.announcement.borrow();
        let announcement = announcement.as_ref().filter(|known| known.instance.is_some())?;
        // Names, addresses and numbers always have a JSON form.
        let row = UpstreamRow::Serving(announcement.clone());
        self.upstream_write(serde_json::to_string(&row).ok())
    }

    /// The write of the upstream's row, or its removal; `None` where no upstream is resumed.
    fn upstream_write(&self, value: Option<String>) -> Option<RowWrite> {
        let write = RowWrite { key: self.upstream_key(), condition: RowCondition::Any, value };
        self.resumes.then_some(write)
    }

    fn upstream_key(&self) -> RowKey {
        RowKey::new(&format!("{UPSTREAM_PREFIX}{}", self.context.identity.node))
    }

    /// What the life before this one has written of its upstream.
    pub async fn read_row(&self) -> Option<UpstreamRow> {
        if !self.resumes {
            return None;
        }
        let read = TableRequest::Read(self.upstream_key());
        let TableReply::Rows(rows) = self.store.read_own(read).await else { return None };
        let row = rows.first()?;
        match serde_json::from_str(&row.value) {
            Ok(row) => Some(row),
            Err(err) => {
                log::warn!(
                    target: LOG_TARGET,
                    "level=warn event=upstream-row-faulty error={:?}", err.to_string()
                );
                None
            }
        }
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
