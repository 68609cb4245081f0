//! What this node knows of requests that end their upstreams, how it tells others, and how it outlasts them.

use std::{cell::RefCell, rc::Rc, time::Duration};

use coltsfoot_wire::peer::{read_quarantine_news, write_quarantine_news};
use coltsfootroute::{
    event::EventKind,
    id::{NodeId, RequestId},
    membership::{MemberRecord, MemberState},
    name::ServiceName,
    quarantine::{
        CrashId, CrashReport, QuarantineChange, QuarantineRegister, QuarantineUpdate,
        QuarantineVerdict, RequestFingerprint, TrialClaim,
    },
    table::TokenBucket,
};
use indexmap::{IndexMap, IndexSet};
use rand::seq::IteratorRandom as _;
use tokio::time::timeout;

use super::{PeerLinks, case_store::CaseStore};
use crate::{
    dispatch::context::{NodeContext, WORD_BYTES},
    gossip::GossipCommand,
    metrics::ControlKind,
    store::StoreHandle,
};

/// Nodes told at once by the guard that has seen an end: with it each node of a small deployment hears in one step.
const FIRST_FANOUT: usize = 16;
/// Nodes told by each that has heard something new. Four reach 98 in 100 nodes of any number within a few steps; the
/// others see from the digest on gossip that they lack a case.
const NEXT_FANOUT: usize = 4;
/// Ends that a node tells of or passes on in a second: at 8.4 KB each they stay within the 4 KB/s of a node's control.
const CRASHES_PER_S: f64 = 0.4;
/// Ends that it does at once. More upstreams end together when a failure domain is lost, which no request has done; one
/// that comes a few times a second ends that many in some ten seconds, and is known after three.
const CRASHES_BURST: f64 = 32.0;
/// Longest wait for a node that is told or asked.
const EXCHANGE_TIMEOUT: Duration = Duration::from_secs(1);
/// Requests that this node has suspected itself and whose cases it writes down.
const MAX_OWN_SUSPECTS: usize = 1_024;

/// What is held against a call.
#[derive(Clone, Copy, Debug)]
pub enum HeldCall {
    /// It is not sent on; its caller may ask again after this time.
    Held(Duration),
    /// The same, but for the one trial, which has to be claimed first.
    TrialDue(RequestFingerprint),
}

/// What became of an operator's word that a request is let go.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReleaseResult {
    /// It was not held back.
    NotHeld,
    /// It is let go, and stays so whatever becomes of the nodes.
    Stored,
    /// It is let go here and told to others, and not written down yet: if all nodes start anew before the table service
    /// answers it is held back again.
    NotStored,
}

/// What this node knows of requests that end their upstreams, how it tells others, and how it outlasts them.
///
/// Ends of upstreams and cases go from node to node; cases also stand in the table service, so that nodes that all start
/// anew still know them.
pub struct QuarantineService {
    context: Rc<NodeContext>,
    links: Rc<PeerLinks>,
    case_store: CaseStore,
    register: RefCell<QuarantineRegister>,
    /// Present members of the services that this node watches.
    peers: RefCell<IndexMap<ServiceName, Vec<NodeId>>>,
    /// What this node's own upstream has ended with, the newest. Invariant: at most [`MAX_OWN_SUSPECTS`].
    own_suspects: RefCell<IndexSet<RequestFingerprint>>,
    /// Ends that may be told of now.
    crash_budget: RefCell<TokenBucket>,
}

impl QuarantineService {
    /// Nothing known yet.
    pub fn new(context: Rc<NodeContext>, links: Rc<PeerLinks>, store: StoreHandle) -> Self {
        let case_store = CaseStore::new(context.clone(), store);
        Self {
            context,
            links,
            case_store,
            register: RefCell::default(),
            peers: RefCell::default(),
            own_suspects: RefCell::default(),
            crash_budget: RefCell::new(TokenBucket::new(CRASHES_PER_S, CRASHES_BURST)),
        }
    }

    /// What is held against a call, if anything; tells the journal if it may not be sent on. `fingerprint` is asked for only
    /// while something is held back.
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

    /// Asks for the one trial of a request that is held back; returns whether this node makes it.
    pub async fn claim_trial(&self, request: RequestId, fingerprint: RequestFingerprint) -> bool {
        let term = self.register.borrow().term(fingerprint);
        // Others that come meanwhile are held back.
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

    /// The upstream beside this node has ended with these requests under way.
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
        self.merge_news(news, FIRST_FANOUT);
    }

    /// The upstream beside this node has answered a call. `fingerprint` is asked for only while something is suspected.
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
                FIRST_FANOUT,
            );
        }
    }

    /// An operator lets a request go. Waits up to a bound until that is written down.
    pub async fn release(self: &Rc<Self>, fingerprint: RequestFingerprint) -> ReleaseResult {
        let now = self.context.now();
        if !self.register.borrow_mut().release(now, fingerprint) {
            return ReleaseResult::NotHeld;
        }
        self.own_suspects.borrow_mut().insert(fingerprint);
        self.publish_changes();
        let cases = self.register.borrow().cases(now);
        self.send_news(QuarantineUpdate { cases, ..QuarantineUpdate::default() }, FIRST_FANOUT);
        match self.case_store.await_written(fingerprint).await {
            true => ReleaseResult::Stored,
            false => ReleaseResult::NotStored,
        }
    }

    /// All that is known.
    pub fn all(&self) -> QuarantineUpdate {
        self.register.borrow().all(self.context.now())
    }

    /// Takes in what another node tells, and passes on what is new of it.
    pub fn receive(self: &Rc<Self>, news: QuarantineUpdate) {
        self.merge_news(news, NEXT_FANOUT);
    }

    /// Asks `peer` for all that it knows: what it holds back differs from what this node does.
    pub async fn pull(self: Rc<Self>, peer: NodeId) {
        let no_news = QuarantineUpdate::default();
        let response = timeout(EXCHANGE_TIMEOUT, self.exchange(peer, &no_news, true)).await;
        if let Ok(Some(news)) = response {
            self.receive(news);
        }
    }

    /// The members of a watched service.
    pub fn note_members(&self, service: &ServiceName, members: &[MemberRecord]) {
        let own = self.context.identity.node;
        let present = members.iter().filter(|member| {
            matches!(member.state, MemberState::Alive | MemberState::Suspect) && member.node != own
        });
        let nodes = present.map(|member| member.node).collect();
        self.peers.borrow_mut().insert(service.clone(), nodes);
    }

    /// Reads the cases that stand in the table service, then writes down those of this node as they come.
    pub async fn sync_cases(self: Rc<Self>) {
        let cases = self.case_store.read_cases().await;
        self.receive(QuarantineUpdate { cases, ..QuarantineUpdate::default() });
        self.case_store.write_cases().await;
    }

    fn merge_news(self: &Rc<Self>, news: QuarantineUpdate, fanout: usize) {
        let now = self.context.now();
        let fresh = self.register.borrow_mut().merge(now, news);
        self.publish_changes();
        self.send_news(fresh, fanout);
    }

    /// Tells the journal, the metrics and the gossip duty of cases that changed, and notes those to write down.
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
            context.tell_gossip(GossipCommand::SetQuarantine(digest)).await;
        });
    }

    fn send_news(self: &Rc<Self>, mut news: QuarantineUpdate, fanout: usize) {
        let now = self.context.now();
        let mut budget = self.crash_budget.borrow_mut();
        news.crashes.retain(|_| budget.acquire(now, 0.0, Duration::ZERO).is_some());
        drop(budget);
        if news.is_empty() {
            return;
        }
        let known: IndexSet<_> = self.peers.borrow().values().flatten().copied().collect();
        let recipients = known.into_iter().sample(&mut *self.context.rng.borrow_mut(), fanout);
        let news = Rc::new(news);
        for peer in recipients {
            let (service, news) = (self.clone(), news.clone());
            tokio::task::spawn_local(async move {
                // One that can't be told hears from others, or sees by their digest that it lacks something.
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
        self.context.count_asked(ControlKind::Quarantine, asked, answered);
        Some(reply)
    }
}
