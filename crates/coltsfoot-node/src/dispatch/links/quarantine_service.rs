//! Tracks requests that crash their upstreams, spreads that information to other nodes, and stores it.

use std::{cell::RefCell, rc::Rc, time::Duration};

use coltsfoot_wire::peer::{read_quarantine_news, write_quarantine_news};
use coltsfootroute::{
    event::EventKind,
    id::{NodeId, RequestId},
    membership::{MemberRecord, MemberState},
    name::ServiceName,
    quarantine::{
        CrashId, CrashReport, QuarantineChange, QuarantineRegister, QuarantineUpdate,
        QuarantineVerdict, REPORT_PERIOD, ReportQueue, RequestFingerprint, TrialClaim,
    },
};
use indexmap::{IndexMap, IndexSet};
use rand::seq::IteratorRandom as _;
use tokio::{
    sync::Notify,
    time::{sleep, timeout},
};

use super::{PeerLinks, case_store::CaseStore, row_renewal::return_pause};
use crate::{
    dispatch::context::{NodeContext, WORD_BYTES},
    gossip::GossipCommand,
    metrics::ControlKind,
    store::{EraCell, StoreHandle},
};

/// Number of nodes that the guard that has seen a crash notifies directly; enough to reach each node of a small
/// deployment in one step.
const FIRST_FANOUT: usize = 16;
/// Number of nodes that a node notifies when it has received new information. Four reach 98 % of the nodes of a
/// deployment of any size within a few steps; the others see from the digest in gossip messages that they lack a case.
const NEXT_FANOUT: usize = 4;
/// Timeout of an exchange with another node.
const EXCHANGE_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum number of requests suspected by this node itself whose cases it writes to the table service.
const MAX_OWN_SUSPECTS: usize = 1_024;

/// How a call that the quarantine holds back is treated.
#[derive(Clone, Copy, Debug)]
pub enum HeldCall {
    /// The call is not forwarded; its caller may retry after this time.
    Held(Duration),
    /// The call is not forwarded unless this node claims the single trial of the request first.
    TrialDue(RequestFingerprint),
}

/// Result of an operator's command to release a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReleaseResult {
    /// The request was not held back.
    NotHeld,
    /// The request is released, and the release is stored, so it survives restarts of the nodes.
    Stored,
    /// The request is released here and other nodes are notified, but the release is not stored yet: if all nodes
    /// restart before the table service answers, the request is held back again.
    NotStored,
}

/// Node where news comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum NewsOrigin {
    /// This node.
    Own,
    /// Another node.
    Other,
}

impl NewsOrigin {
    /// Number of nodes that are told.
    fn fanout(self) -> usize {
        match self {
            Self::Own => FIRST_FANOUT,
            Self::Other => NEXT_FANOUT,
        }
    }
}

/// Tracks requests that crash their upstreams, spreads that information to other nodes, and stores it.
///
/// Crashes of upstreams and cases are forwarded from node to node; cases are also stored in the table service, so that
/// they survive a restart of all nodes.
pub struct QuarantineService {
    context: Rc<NodeContext>,
    links: Rc<PeerLinks>,
    case_store: CaseStore,
    eras: EraCell,
    register: RefCell<QuarantineRegister>,
    /// Alive or suspect members of the services that this node watches, without this node.
    peers: RefCell<IndexMap<ServiceName, Vec<NodeId>>>,
    /// Requests that were in flight when this node's upstream crashed, and requests released here; oldest first.
    /// Invariant: at most [`MAX_OWN_SUSPECTS`].
    own_suspects: RefCell<IndexSet<RequestFingerprint>>,
    /// Reports of crashes of this node's upstream that wait to be sent.
    own_reports: RefCell<ReportQueue>,
    /// Reports of other nodes that wait to be forwarded.
    forwarded_reports: RefCell<ReportQueue>,
    /// Notified when reports have to wait.
    reports_wait: Notify,
}

impl QuarantineService {
    /// Creates a service without crashes or cases.
    pub fn new(context: Rc<NodeContext>, links: Rc<PeerLinks>, store: StoreHandle) -> Self {
        let eras = store.eras().clone();
        let case_store = CaseStore::new(context.clone(), store);
        Self {
            context,
            links,
            case_store,
            eras,
            register: RefCell::default(),
            peers: RefCell::default(),
            own_suspects: RefCell::default(),
            own_reports: RefCell::default(),
            forwarded_reports: RefCell::default(),
            reports_wait: Notify::new(),
        }
    }

    /// Returns how a call is held back; `None` if it may be forwarded. Emits an event if the call is refused.
    /// `fingerprint` is evaluated only while there are cases.
    pub fn judge(
        &self,
        request: RequestId,
        fingerprint: impl FnOnce() -> RequestFingerprint,
    ) -> Option<HeldCall> {
        let register = self.register.borrow();
        if !register.has_cases() {
            return None;
        }
        let fingerprint = fingerprint();
        match register.verdict(self.context.now(), fingerprint) {
            QuarantineVerdict::Free => None,
            QuarantineVerdict::TrialDue => Some(HeldCall::TrialDue(fingerprint)),
            QuarantineVerdict::Held(wait) => {
                let term = register.term(fingerprint).0;
                let refused = EventKind::QuarantineRefused { request, fingerprint, term };
                self.context.events.emit(refused);
                Some(HeldCall::Held(wait))
            }
        }
    }

    /// Claims the single trial of a request that is held back; returns whether this node may run it.
    pub async fn claim_trial(&self, request: RequestId, fingerprint: RequestFingerprint) -> bool {
        let term = self.register.borrow().term(fingerprint);
        // Other calls of this request that arrive during the claim are held back.
        self.record_trial_claim(fingerprint, TrialClaim::Unavailable);
        let claim = self.case_store.claim_trial(fingerprint, term).await;
        self.record_trial_claim(fingerprint, claim);
        let granted = claim == TrialClaim::Granted;
        if granted {
            self.context.events.emit(EventKind::QuarantineTrial { request, fingerprint });
        }
        granted
    }

    fn record_trial_claim(&self, fingerprint: RequestFingerprint, claim: TrialClaim) {
        let now = self.context.now();
        self.register.borrow_mut().record_trial(now, fingerprint, claim);
    }

    /// Reports that this node's upstream has crashed while these requests were in flight.
    pub fn report(self: &Rc<Self>, crash: CrashId, suspects: Vec<RequestFingerprint>) {
        if suspects.is_empty() {
            return;
        }
        let mut own = self.own_suspects.borrow_mut();
        for suspect in &suspects {
            if own.len() >= MAX_OWN_SUSPECTS {
                own.shift_remove_index(0);
            }
            own.insert(*suspect);
        }
        drop(own);
        let report = CrashReport { crash, age: Duration::ZERO, suspects };
        let news = QuarantineUpdate { crashes: vec![report], ..QuarantineUpdate::default() };
        self.merge_news(news, NewsOrigin::Own);
    }

    /// Notes that this node's upstream has answered a call. `fingerprint` is evaluated only while there are suspects.
    pub fn note_answer(self: &Rc<Self>, fingerprint: impl FnOnce() -> RequestFingerprint) {
        if !self.register.borrow().has_suspects() {
            return;
        }
        let now = self.context.now();
        let note = self.register.borrow_mut().record_answer(now, fingerprint());
        if let Some(note) = note {
            let answers = vec![note];
            self.publish_changes();
            self.send_news(
                QuarantineUpdate { answers, ..QuarantineUpdate::default() },
                NewsOrigin::Own,
            );
        }
    }

    /// Releases a request on behalf of an operator. Waits for a bounded time until the release is stored.
    pub async fn release(self: &Rc<Self>, fingerprint: RequestFingerprint) -> ReleaseResult {
        let now = self.context.now();
        if !self.register.borrow_mut().release(now, fingerprint) {
            return ReleaseResult::NotHeld;
        }
        self.own_suspects.borrow_mut().insert(fingerprint);
        self.publish_changes();
        let cases = self.register.borrow().cases(now);
        self.send_news(QuarantineUpdate { cases, ..QuarantineUpdate::default() }, NewsOrigin::Own);
        match self.case_store.await_written(fingerprint).await {
            true => ReleaseResult::Stored,
            false => ReleaseResult::NotStored,
        }
    }

    /// Returns all crashes and cases known to this node.
    pub fn all(&self) -> QuarantineUpdate {
        self.register.borrow().all(self.context.now())
    }

    /// Merges an update from another node, and forwards what is new in it.
    pub fn receive(self: &Rc<Self>, news: QuarantineUpdate) {
        self.merge_news(news, NewsOrigin::Other);
    }

    /// Requests all crashes and cases from `peer`, whose cases differ from those of this node.
    pub async fn pull(self: Rc<Self>, peer: NodeId) {
        let no_news = QuarantineUpdate::default();
        let response = timeout(EXCHANGE_TIMEOUT, self.exchange(peer, &no_news, true)).await;
        if let Ok(Some(news)) = response {
            self.receive(news);
        }
    }

    /// Updates the members of a watched service.
    pub fn note_members(&self, service: &ServiceName, members: &[MemberRecord]) {
        let own = self.context.identity.node;
        let present = members.iter().filter(|member| {
            matches!(member.state, MemberState::Alive | MemberState::Suspect) && member.node != own
        });
        let nodes = present.map(|member| member.node).collect();
        self.peers.borrow_mut().insert(service.clone(), nodes);
    }

    /// Reads the cases stored in the table service, then writes those of this node as they arrive; never returns.
    pub async fn sync_cases(self: Rc<Self>) {
        let cases = self.case_store.read_cases().await;
        self.receive(QuarantineUpdate { cases, ..QuarantineUpdate::default() });
        self.case_store.write_cases().await;
    }

    /// Writes cases again whenever the store comes back from an older copy, which may lack them; never returns.
    pub async fn watch_eras(self: Rc<Self>) {
        let mut watch = self.eras.watch();
        // The cell lives as long as this service, which holds it.
        while watch.next_return().await.is_some() {
            self.write_again().await;
        }
    }

    /// Has the cases written that the store lacks: at once by a node that has written some before, as all nodes may be
    /// restarted soon, and by the others one after the other, if it has not been done then.
    async fn write_again(self: &Rc<Self>) {
        if !self.register.borrow().has_cases() {
            return;
        }
        if self.own_suspects.borrow().is_empty() {
            sleep(return_pause(&self.context)).await;
        }
        let stored = self.case_store.read_cases().await;
        self.receive(QuarantineUpdate { cases: stored.clone(), ..QuarantineUpdate::default() });
        let stored: IndexMap<_, _> =
            stored.iter().map(|case| (case.fingerprint, case.term)).collect();
        for case in self.register.borrow().cases(self.context.now()) {
            if stored.get(&case.fingerprint).is_none_or(|term| *term < case.term) {
                self.case_store.queue_write(case.fingerprint, case.term);
            }
        }
    }

    fn merge_news(self: &Rc<Self>, news: QuarantineUpdate, origin: NewsOrigin) {
        let now = self.context.now();
        let fresh = self.register.borrow_mut().merge(now, news);
        self.publish_changes();
        self.send_news(fresh, origin);
    }

    /// Publishes changed cases to the event journal, the metrics and the gossip duty, and queues this node's own for
    /// writing.
    fn publish_changes(self: &Rc<Self>) {
        let changes = self.register.borrow_mut().drain_changes();
        if changes.is_empty() {
            return;
        }
        for QuarantineChange { fingerprint, term, crashes } in changes {
            let held = term.is_held();
            let term_number = term.0;
            self.context.events.emit(EventKind::QuarantineChanged {
                fingerprint,
                term: term_number,
                held,
                crashes,
            });
            if self.own_suspects.borrow().contains(&fingerprint) {
                self.case_store.queue_write(fingerprint, term);
            }
        }
        let register = self.register.borrow();
        let held =
            register.cases(self.context.now()).iter().filter(|case| case.term.is_held()).count();
        self.context.metrics.requests.set_quarantined(held);
        let digest = register.digest();
        let context = self.context.clone();
        tokio::task::spawn_local(async move {
            context.send_gossip_command(GossipCommand::SetQuarantine(digest)).await;
        });
    }

    /// Sends reports that wait as the budget allows; never returns.
    pub async fn send_waiting_reports(self: Rc<Self>) {
        loop {
            self.reports_wait.notified().await;
            sleep(REPORT_PERIOD).await;
            for origin in [NewsOrigin::Own, NewsOrigin::Other] {
                self.send_news(QuarantineUpdate::default(), origin);
            }
        }
    }

    fn reports(&self, origin: NewsOrigin) -> &RefCell<ReportQueue> {
        match origin {
            NewsOrigin::Own => &self.own_reports,
            NewsOrigin::Other => &self.forwarded_reports,
        }
    }

    /// Sends news to other nodes: reports of crashes as far as the budget allows, the rest of them later.
    fn send_news(self: &Rc<Self>, mut news: QuarantineUpdate, origin: NewsOrigin) {
        let now = self.context.now();
        let mut reports = self.reports(origin).borrow_mut();
        for report in news.crashes.drain(..) {
            reports.push(now, report);
        }
        news.crashes = reports.take_due(now);
        if reports.has_waiting() {
            self.reports_wait.notify_one();
        }
        drop(reports);
        if news.is_empty() {
            return;
        }
        let fanout = origin.fanout();
        let known: IndexSet<_> = self.peers.borrow().values().flatten().copied().collect();
        let recipients = known.into_iter().sample(&mut *self.context.rng.borrow_mut(), fanout);
        let news = Rc::new(news);
        for peer in recipients {
            let (service, news) = (self.clone(), news.clone());
            tokio::task::spawn_local(async move {
                // A node that cannot be reached is notified by others, or sees from their digest that it lacks a case.
                let _ = timeout(EXCHANGE_TIMEOUT, service.exchange(peer, &news, false)).await;
            });
        }
    }

    async fn exchange(
        &self,
        peer: NodeId,
        news: &QuarantineUpdate,
        wants_all: bool,
    ) -> Option<QuarantineUpdate> {
        let link = self.links.get(peer).await.ok()?;
        let mut request = link.client().tell_quarantine_request();
        request.get().set_wants_all(wants_all);
        write_quarantine_news(news, request.get().init_news());
        let Ok(response) = request.send().promise.await else {
            self.links.failed(peer, &link);
            return None;
        };
        let reply = read_quarantine_news(response.get().ok()?.get_news().ok()?).ok()?;
        let (asked, answered) = (news.wire_bytes() + WORD_BYTES, reply.wire_bytes());
        self.context.count_sent_request(ControlKind::Quarantine, asked, answered);
        Some(reply)
    }
}
