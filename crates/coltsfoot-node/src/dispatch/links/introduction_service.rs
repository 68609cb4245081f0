//! The node's rows in the table service: the one by which newcomers find it, and the one by which it finds
//! its upstream again after a restart. Best effort, and never waited for by a call.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::Duration,
};

use coltsfootroute::{
    membership::{InstanceIncarnation, IntroductionRow, ResumeWindow},
    name::ServiceName,
    table::{RowKey, RowWrite, TableReply, TableRequest},
};
use indexmap::IndexSet;
use tokio::{
    sync::Notify,
    time::{sleep, timeout},
};

use super::{
    IntroducedUpstream, IntroductionStore, UpstreamAnnouncement, UpstreamRow, own_rows::OwnRows,
    upstream_row_writer::UpstreamRowWriter,
};
use crate::dispatch::context::NodeContext;

/// Pause before a row that could not be written is written again; jittered.
const WRITE_PAUSE: Duration = Duration::from_secs(30);
/// The same of a row that tells of a leave: its upstream waits for the acknowledgement, and repeats itself every second or
/// two. Few upstreams leave at the same moment, so that a store that comes back is not flooded.
const DEPARTED_WRITE_PAUSE: Duration = Duration::from_millis(500);
/// How long a leave waits for its row: together with a slow heartbeat within the second after which an upstream counts
/// it as not acknowledged.
const MAX_SETTLE_WAIT: Duration = Duration::from_millis(800);
/// How long a heartbeat waits for what the life before this one has written: within the same second.
const MAX_PREVIOUS_ROW_WAIT: Duration = Duration::from_millis(700);
/// Pause before that is read again; jittered.
const PREVIOUS_ROW_READ_PAUSE: Duration = Duration::from_millis(250);

/// Start of the keys of the rows by which nodes find their upstreams.
const UPSTREAM_PREFIX: &str = "upstream/";

/// The node's own rows.
pub struct IntroductionService {
    context: Rc<NodeContext>,
    store: IntroductionStore,
    row: UpstreamRowWriter,
    /// Whether the upstream is found again after a restart: it refuses calls that are meant for another life of it.
    resumes: bool,
    /// What the upstream that the rows shall speak of says of itself.
    announcement: RefCell<Option<UpstreamAnnouncement>>,
    /// What the rows shall tell.
    wanted: RefCell<OwnRows>,
    /// What they tell for certain; `None` while that is open.
    written: RefCell<Option<OwnRows>>,
    /// Services under which others may find the node.
    introduced_as: RefCell<IndexSet<ServiceName>>,
    /// Whether what the life before this one has written is known, or past finding out.
    resume: Cell<ResumeWindow>,
    resumed: Notify,
    wanted_changed: Notify,
    /// Woken after each attempt to write, whatever came of it.
    written_changed: Notify,
}

impl IntroductionService {
    /// No rows yet; `resumes` says whether the upstream refuses calls that are meant for another life of it.
    pub fn new(context: Rc<NodeContext>, store: IntroductionStore, resumes: bool) -> Self {
        let mut resume = ResumeWindow::new(context.now());
        if !resumes {
            resume.note_leaves_read();
        }
        let key = RowKey::new(&format!("{UPSTREAM_PREFIX}{}", context.identity.node));
        Self {
            row: UpstreamRowWriter::new(store.clone(), key),
            context,
            store,
            resumes,
            announcement: RefCell::default(),
            wanted: RefCell::default(),
            written: RefCell::new(Some(OwnRows::Nothing)),
            introduced_as: RefCell::default(),
            resume: Cell::new(resume),
            resumed: Notify::new(),
            wanted_changed: Notify::new(),
            written_changed: Notify::new(),
        }
    }

    /// The rows shall speak of the upstream that announced itself so.
    pub fn set_upstream(&self, announcement: &UpstreamAnnouncement) {
        let upstream = IntroducedUpstream {
            service: announcement.service.clone(),
            instance: announcement.life(),
        };
        *self.announcement.borrow_mut() = Some(announcement.clone());
        self.set_wanted(OwnRows::Serving(upstream));
    }

    /// The rows shall be gone.
    pub fn retract(&self) {
        self.set_wanted(OwnRows::Nothing);
    }

    /// The upstream has said itself that it leaves: the rows shall tell of that. Returns whether they do, so that no later
    /// life of this node takes the upstream up again; waits for that up to a bound.
    pub async fn depart(&self, instance: InstanceIncarnation) -> bool {
        if !self.resumes {
            self.retract();
            return self.settle().await;
        }
        if !self.wanted.borrow().records_leave(&instance) {
            self.set_wanted(OwnRows::Departed(instance));
        }
        self.settle().await
    }

    fn set_wanted(&self, rows: OwnRows) {
        *self.wanted.borrow_mut() = rows;
        self.wanted_changed.notify_one();
    }

    fn is_settled(&self) -> bool {
        self.written.borrow().as_ref() == Some(&*self.wanted.borrow())
    }

    /// Waits until it is known what the life before this one has written, up to a bound; returns whether it is, or no
    /// leave that it may have acknowledged matters any more.
    pub async fn await_previous_row(&self) -> bool {
        if self.is_awaiting_previous_row() {
            // Past the bound the store is down or slow.
            let _ = timeout(MAX_PREVIOUS_ROW_WAIT, self.resumed.notified()).await;
        }
        !self.is_awaiting_previous_row()
    }

    fn is_awaiting_previous_row(&self) -> bool {
        self.resume.get().is_open(self.context.now())
    }

    /// What the life before this one has written is known.
    pub fn note_previous_row_read(&self) {
        let mut resume = self.resume.get();
        resume.note_leaves_read();
        self.resume.set(resume);
        self.resumed.notify_waiters();
    }

    /// Waits until the node's own row has been written, or has been tried to be.
    pub async fn await_introduced(&self) {
        loop {
            let changed = self.written_changed.notified();
            if !self.introduced_as.borrow().is_empty() {
                return;
            }
            changed.await;
        }
    }

    /// Waits until the rows stand as wanted, up to a bound; returns whether they do.
    pub async fn settle(&self) -> bool {
        let settled = async {
            while !self.is_settled() {
                self.written_changed.notified().await;
            }
        };
        timeout(MAX_SETTLE_WAIT, settled).await.is_ok()
    }

    /// Keeps the node's own rows as wanted.
    pub async fn sync_rows(self: Rc<Self>) {
        loop {
            self.write_wanted().await;
            let changed = self.wanted_changed.notified();
            if self.is_settled() {
                changed.await;
                continue;
            }
            let pause = match &*self.wanted.borrow() {
                OwnRows::Departed(_) => DEPARTED_WRITE_PAUSE,
                OwnRows::Nothing | OwnRows::Serving(_) => WRITE_PAUSE,
            };
            // Either of the two is a reason to write again.
            let _ = timeout(self.context.jittered(pause), changed).await;
        }
    }

    /// Writes the rows in one transaction, if they do not stand as wanted.
    async fn write_wanted(&self) {
        if self.is_settled() {
            return;
        }
        let wanted = self.wanted.borrow().clone();
        self.written.take();
        let committed = self.write(&wanted).await;
        let mut services = self.introduced_as.borrow_mut();
        if committed {
            services.clear();
        }
        // A write without an answer may stand all the same, and is removed like one that does.
        services.extend(wanted.service().cloned());
        drop(services);
        if committed {
            *self.written.borrow_mut() = Some(wanted);
        }
        self.written_changed.notify_waiters();
    }

    async fn write(&self, wanted: &OwnRows) -> bool {
        let writes = self.introduction_writes(wanted);
        if self.resumes {
            return self.row.change(self.upstream_row(wanted).as_ref(), writes).await;
        }
        writes.is_empty()
            || self.store.change_own(TableRequest::Transact(writes)).await == TableReply::Committed
    }

    fn introduction_writes(&self, wanted: &OwnRows) -> Vec<RowWrite> {
        let services = self.introduced_as.borrow();
        let stale = services.iter().filter(|service| wanted.service() != Some(service));
        let removals = stale.map(|service| self.introduction_row(service).removal());
        removals
            .chain(wanted.service().map(|service| self.introduction_row(service).write()))
            .collect()
    }

    fn introduction_row(&self, service: &ServiceName) -> IntroductionRow {
        IntroductionRow {
            service: service.clone(),
            node: self.context.identity.node,
            incarnation: self.context.identity.incarnation,
        }
    }

    /// The row by which a restart finds the upstream again; `None` where it does not name its lives, since another one might
    /// have its address by then.
    fn upstream_row(&self, wanted: &OwnRows) -> Option<UpstreamRow> {
        match wanted {
            OwnRows::Nothing => None,
            OwnRows::Serving(_) => {
                let announcement = self.announcement.borrow();
                let named = announcement.as_ref().filter(|known| known.instance.is_some())?;
                Some(UpstreamRow::Serving(named.clone()))
            }
            OwnRows::Departed(life) => {
                Some(UpstreamRow::Departed { departed: life.name.clone(), born: life.started })
            }
        }
    }

    /// What the life before this one has written of its upstream. Reads until the store tells, and gives up once no leave
    /// matters any more that may stand there.
    pub async fn read_previous_row(&self) -> Option<UpstreamRow> {
        while self.is_awaiting_previous_row() {
            if let Ok(row) = self.row.read().await {
                return row;
            }
            sleep(self.context.jittered(PREVIOUS_ROW_READ_PAUSE)).await;
        }
        None
    }
}
