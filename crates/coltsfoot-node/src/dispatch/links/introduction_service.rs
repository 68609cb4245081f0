//! Maintains the node's rows in the table service: the row by which new nodes find it, and the row by which it finds
//! its upstream again after a restart. Best effort; calls never wait for it.

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
    IntroducedUpstream, IntroductionStore, UpstreamAnnouncement, UpstreamRow, UpstreamState,
    own_rows::OwnRows, upstream_row_writer::UpstreamRowWriter,
};
use crate::{dispatch::context::NodeContext, store::EraCell};

/// Pause before a failed write of a row is retried; jittered.
const WRITE_PAUSE: Duration = Duration::from_secs(30);
/// Pause before a failed write of a row that records a leave is retried; jittered. It is short because the upstream
/// waits for the acknowledgement and repeats its message every second or two. Few upstreams leave at the same time, so
/// these retries do not overload a store that has just recovered.
const DEPARTED_WRITE_PAUSE: Duration = Duration::from_millis(500);
/// Longest time that a leave waits for its row. Together with a slow heartbeat it stays within the second after which
/// an upstream counts the leave as not acknowledged.
pub(super) const MAX_SETTLE_WAIT: Duration = Duration::from_millis(800);
/// Longest time that a heartbeat waits for the row of the node's previous incarnation; within the same second.
const MAX_PREVIOUS_ROW_WAIT: Duration = Duration::from_millis(700);
/// Pause before a failed read of that row is retried; jittered.
const PREVIOUS_ROW_READ_PAUSE: Duration = Duration::from_millis(250);

/// Key prefix of the rows by which nodes find their upstreams again.
const UPSTREAM_PREFIX: &str = "upstream/";

/// Maintains the node's own rows.
pub struct IntroductionService {
    pub(super) context: Rc<NodeContext>,
    store: IntroductionStore,
    pub(super) eras: EraCell,
    pub(super) row: UpstreamRowWriter,
    /// Whether the node finds its upstream again after a restart. Requires that the upstream refuses calls that are
    /// meant for another of its incarnations.
    resumes: bool,
    /// Latest announcement of the upstream that the rows are to advertise.
    announcement: RefCell<Option<UpstreamAnnouncement>>,
    /// Content that the rows are to have.
    pub(super) wanted: RefCell<OwnRows>,
    /// Content that the rows are known to have; `None` while it is unknown.
    pub(super) written: RefCell<Option<OwnRows>>,
    /// Services under which other nodes may find this node.
    introduced_as: RefCell<IndexSet<ServiceName>>,
    /// Period within which a leave recorded by the node's previous incarnation still matters, unless it has been read.
    resume: Cell<ResumeWindow>,
    resumed: Notify,
    pub(super) wanted_changed: Notify,
    /// Notified after each attempt to write, whether it succeeded or not.
    written_changed: Notify,
}

impl IntroductionService {
    /// Creates a service with no rows; `eras` are those of the store, and `resumes` says whether the upstream refuses
    /// calls that are meant for another of its incarnations.
    pub fn new(
        context: Rc<NodeContext>,
        store: IntroductionStore,
        eras: EraCell,
        resumes: bool,
    ) -> Self {
        let mut resume = ResumeWindow::new(context.now());
        if !resumes {
            resume.note_leaves_read();
        }
        let key = RowKey::new(&format!("{UPSTREAM_PREFIX}{}", context.identity.node));
        Self {
            row: UpstreamRowWriter::new(store.clone(), key),
            context,
            store,
            eras,
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

    /// Makes the rows advertise the announced upstream.
    pub fn set_upstream(&self, announcement: &UpstreamAnnouncement) {
        let upstream = IntroducedUpstream {
            service: announcement.service.clone(),
            instance: announcement.incarnation(),
        };
        *self.announcement.borrow_mut() = Some(announcement.clone());
        self.set_wanted(OwnRows::Serving(upstream));
    }

    /// Requests the removal of the rows.
    pub fn retract(&self) {
        self.set_wanted(OwnRows::Nothing);
    }

    /// Records in the rows that the upstream has announced its leave, and waits for at most `MAX_SETTLE_WAIT` until
    /// they are written. Returns whether they are; then no later incarnation of this node resumes the upstream.
    pub async fn depart(&self, instance: InstanceIncarnation) -> bool {
        if !self.resumes {
            self.retract();
            return self.settle().await;
        }
        let rows = OwnRows::Departed(instance);
        if *self.wanted.borrow() != rows {
            self.set_wanted(rows);
        }
        self.settle().await
    }

    fn set_wanted(&self, rows: OwnRows) {
        *self.wanted.borrow_mut() = rows;
        self.wanted_changed.notify_one();
    }

    pub(super) fn is_settled(&self) -> bool {
        self.written.borrow().as_ref() == Some(&*self.wanted.borrow())
    }

    /// Waits for at most `MAX_PREVIOUS_ROW_WAIT` until the row of the node's previous incarnation has been read.
    /// Returns whether it has, or a leave that the previous incarnation acknowledged can no longer matter.
    pub async fn await_previous_row(&self) -> bool {
        if self.is_awaiting_previous_row() {
            // A timeout means that the store is down or slow.
            let _ = timeout(MAX_PREVIOUS_ROW_WAIT, self.resumed.notified()).await;
        }
        !self.is_awaiting_previous_row()
    }

    fn is_awaiting_previous_row(&self) -> bool {
        self.resume.get().is_open(self.context.now())
    }

    /// Notes that the row of the node's previous incarnation has been read.
    pub fn note_previous_row_read(&self) {
        let mut resume = self.resume.get();
        resume.note_leaves_read();
        self.resume.set(resume);
        self.resumed.notify_waiters();
    }

    /// Waits until the node has attempted to write its own row.
    pub async fn await_introduced(&self) {
        loop {
            let changed = self.written_changed.notified();
            if !self.introduced_as.borrow().is_empty() {
                return;
            }
            changed.await;
        }
    }

    /// Waits for at most `MAX_SETTLE_WAIT` until the rows have the wanted content; returns whether they do.
    pub async fn settle(&self) -> bool {
        let settled = async {
            while !self.is_settled() {
                self.written_changed.notified().await;
            }
        };
        timeout(MAX_SETTLE_WAIT, settled).await.is_ok()
    }

    /// Writes the node's own rows whenever the wanted content changes or a write has failed; never returns.
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
            // Write again after the pause or a change, whichever comes first.
            let _ = timeout(self.context.jittered(pause), changed).await;
        }
    }

    /// Writes the rows in one transaction, unless they have the wanted content already.
    async fn write_wanted(&self) {
        if self.is_settled() {
            return;
        }
        let wanted = self.wanted.borrow().clone();
        self.written.take();
        let era = self.eras.latest();
        let mut committed = self.write(&wanted).await;
        if self.eras.latest() != era {
            // The rows may be gone again, or say nothing of their era: they are written once more at once.
            committed = false;
            self.wanted_changed.notify_one();
        }
        let mut services = self.introduced_as.borrow_mut();
        if committed {
            services.clear();
        }
        // An unanswered write may have been committed, so its row is removed later like a committed one.
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

    /// Returns the row by which the node finds the upstream again after a restart; `None` if there is no upstream, or
    /// it has no instance name: then another upstream might have taken over its address.
    fn upstream_row(&self, wanted: &OwnRows) -> Option<UpstreamRow> {
        let state = self.upstream_state(wanted)?;
        Some(UpstreamRow { era: self.eras.latest(), state })
    }

    fn upstream_state(&self, wanted: &OwnRows) -> Option<UpstreamState> {
        match wanted {
            OwnRows::Nothing => None,
            OwnRows::Serving(_) => {
                let announcement = self.announcement.borrow();
                let named = announcement.as_ref().filter(|known| known.instance.is_some())?;
                Some(UpstreamState::Serving(named.clone()))
            }
            OwnRows::Departed(incarnation) => Some(UpstreamState::Departed {
                departed: incarnation.name.clone(),
                born: incarnation.started,
            }),
        }
    }

    /// Reads the row that the node's previous incarnation has written about its upstream. Retries until the store
    /// answers; returns `None` if there is no usable row, or once a leave recorded there can no longer matter.
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
