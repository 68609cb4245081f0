//! The calls that the upstream beside the node works on, found by the context it was given.

use std::{
    cell::{Cell, OnceCell, RefCell},
    cmp::Reverse,
    rc::Rc,
};

use coltsfoot_wire::peer::{CallReply, LevelNote};
use coltsfootroute::{
    admission::ShedLevel,
    id::{NodeId, RequestId},
    importance::Importance,
    name::TeamName,
    outcome::{CallOutcome, RefusalReason},
    quarantine::RequestFingerprint,
    time::MonotonicTime,
};
use indexmap::IndexMap;
use rand::{Rng, RngExt};
use tokio::sync::Notify;

use crate::dispatch::context::CallContent;

/// Admission levels kept for one call at most; the most severe stay.
const MAX_LEVELS: usize = 16;

/// What nested calls inherit from the call that the upstream works on.
pub struct CallSpan {
    /// Client request.
    pub request: RequestId,
    /// Importance of the client request.
    pub importance: Importance,
    /// Deadline of the call, on this node's clock.
    pub deadline: MonotonicTime,
    /// Node that keeps the retry account.
    pub account: Option<NodeId>,
    /// Hash of the client.
    pub client: u64,
    /// Team whose client request it is.
    pub team: Option<TeamName>,
    /// Whether the call, or one above it, is not the first attempt.
    pub is_repeat: bool,
    /// What the call asks for, once somebody has wanted to know: a hash over the whole body.
    fingerprint: OnceCell<RequestFingerprint>,
    /// Whether a nested call may have reached an upstream.
    nested_ran: Cell<bool>,
    /// Whether a nested call ended without being served, where a further run of the call above would fare no
    /// better.
    failed_below: Cell<bool>,
    /// Nested calls that have no outcome yet.
    nested_open: Cell<u32>,
    /// Whether the call was given up before its answer was complete.
    cancelled: Cell<bool>,
    cancellation: Notify,
    /// Levels of the services below, to travel back with the reply. At most [`MAX_LEVELS`].
    levels: RefCell<Vec<LevelNote>>,
}

impl CallSpan {
    /// A span without nested calls.
    pub fn new(
        request: RequestId,
        importance: Importance,
        deadline: MonotonicTime,
        account: Option<NodeId>,
        client: u64,
    ) -> Self {
        Self {
            request,
            importance,
            deadline,
            account,
            client,
            team: None,
            is_repeat: false,
            fingerprint: OnceCell::new(),
            nested_ran: Cell::new(false),
            failed_below: Cell::new(false),
            nested_open: Cell::new(0),
            cancelled: Cell::new(false),
            cancellation: Notify::new(),
            levels: RefCell::new(Vec::new()),
        }
    }

    /// Says whose client request it is.
    pub fn with_team(self, team: Option<TeamName>) -> Self {
        Self { team, ..self }
    }

    /// Says whether the call, or one above it, is not the first attempt.
    pub fn with_repeat(self, is_repeat: bool) -> Self {
        Self { is_repeat, ..self }
    }

    /// The fingerprint of the call, which has `content`.
    pub fn fingerprint(&self, content: CallContent<'_>) -> RequestFingerprint {
        *self.fingerprint.get_or_init(|| content.fingerprint())
    }

    /// Whether a nested call has reached an upstream or may yet; then the call itself has run in part.
    pub fn may_have_nested(&self) -> bool {
        self.nested_ran.get() || self.nested_open.get() > 0
    }

    /// Whether a nested call was not served, whatever was tried for it.
    pub fn has_failed_below(&self) -> bool {
        self.failed_below.get()
    }

    /// Takes note of how a nested call ended.
    pub fn note_nested(&self, reply: &CallReply) {
        if reply.outcome != CallOutcome::Completed && !is_fault_of_node(reply) {
            self.failed_below.set(true);
        }
    }

    /// The call is given up: nobody waits for its nested calls any more.
    pub fn cancel(&self) {
        self.cancelled.set(true);
        self.cancellation.notify_waiters();
    }

    /// Waits until the call is given up; for ever if it ends with its answer.
    pub async fn cancelled(&self) {
        let cancellation = self.cancellation.notified();
        if !self.cancelled.get() {
            cancellation.await;
        }
    }

    /// Keeps `notes`, each in place of an older note of the same guard.
    pub fn note_levels(&self, notes: &[LevelNote]) {
        let mut levels = self.levels.borrow_mut();
        for note in notes {
            levels.retain(|kept| kept.guard != note.guard || kept.service != note.service);
            levels.push(note.clone());
        }
        levels.sort_by_key(|note| Reverse(note.level));
        levels.truncate(MAX_LEVELS);
    }

    /// The levels noted so far.
    pub fn levels(&self) -> Vec<LevelNote> {
        self.levels.borrow().clone()
    }
}

/// Whether the nested call failed for what the node beside the upstream lacks: another node may have it. Nobody has
/// an upstream of a service that has gone.
fn is_fault_of_node(reply: &CallReply) -> bool {
    let has_gone = reply.levels.iter().any(|note| note.level == ShedLevel::MAX);
    !has_gone
        && matches!(
            reply.reason(),
            Some(
                RefusalReason::NoUpstream | RefusalReason::NoConfiguration | RefusalReason::Leaving
            )
        )
}

/// A nested call under way; dropped without [`NestedCallTracker::finish`] it may have run.
pub struct NestedCallTracker {
    span: Rc<CallSpan>,
    ran: bool,
}

impl NestedCallTracker {
    /// Marks a nested call of `span` as under way.
    pub fn begin(span: Rc<CallSpan>) -> Self {
        span.nested_open.set(span.nested_open.get() + 1);
        Self { span, ran: true }
    }

    /// The nested call has ended.
    pub fn finish(mut self, outcome: CallOutcome) {
        self.ran = outcome != CallOutcome::NotRun;
    }
}

impl Drop for NestedCallTracker {
    fn drop(&mut self) {
        let span = &self.span;
        span.nested_open.set(span.nested_open.get() - 1);
        span.nested_ran.set(span.nested_ran.get() || self.ran);
    }
}

/// The calls that the upstream works on, by their context.
///
/// A context is random, so that it cannot be guessed, or made of the request's identity where nobody but
/// the upstream and the clients of its host can reach the node; it is known only while its call is in flight.
#[derive(Default)]
pub struct CallsInFlight {
    spans: RefCell<IndexMap<u128, Rc<CallSpan>>>,
}

impl CallsInFlight {
    /// Enters a call under its context, drawn at random where it has none of its own, and returns it.
    pub fn insert(&self, own: Option<u128>, rng: &mut impl Rng, span: Rc<CallSpan>) -> u128 {
        let context = own.unwrap_or_else(|| rng.random::<u128>());
        self.spans.borrow_mut().insert(context, span);
        context
    }

    /// The call of a context as the upstream sent it back.
    pub fn find(&self, context: &str) -> Option<Rc<CallSpan>> {
        let context = u128::from_str_radix(context, 16).ok()?;
        self.spans.borrow().get(&context).cloned()
    }

    /// Forgets a call that has ended, unless a later one has taken its context.
    pub fn remove(&self, context: u128, span: &CallSpan) {
        let mut spans = self.spans.borrow_mut();
        if spans.get(&context).is_some_and(|held| std::ptr::eq(&**held, span)) {
            spans.swap_remove(&context);
        }
    }
}

/// The context's form in the header.
pub fn context_text(context: u128) -> String {
    format!("{context:032x}")
}
