//! The calls that the upstream beside the node is processing, looked up by the context sent with each.

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

/// Maximum number of admission levels kept for one call; the most severe are kept.
const MAX_LEVELS: usize = 16;

/// A call that the upstream is processing, with the properties that its nested calls inherit.
pub struct CallSpan {
    /// Client request.
    pub request: RequestId,
    /// Importance of the client request.
    pub importance: Importance,
    /// Deadline of the call, on this node's clock.
    pub deadline: MonotonicTime,
    /// Time at which the client request entered, on this node's clock; that of the call if it is not known.
    pub entered: MonotonicTime,
    /// Node that holds the retry account.
    pub account: Option<NodeId>,
    /// Hash of the client.
    pub client: u64,
    /// Team that sent the client request.
    pub team: Option<TeamName>,
    /// Whether the call, or one above it, is not the first attempt.
    pub is_repeat: bool,
    /// Fingerprint of the call, computed on first use because it hashes the whole body.
    fingerprint: OnceCell<RequestFingerprint>,
    /// Whether a nested call may have reached an upstream.
    nested_ran: Cell<bool>,
    /// Whether a nested call failed in a way that a further run of this call would not avoid.
    failed_below: Cell<bool>,
    /// Number of nested calls without an outcome yet.
    nested_open: Cell<u32>,
    /// Whether the call was cancelled before its answer was complete.
    cancelled: Cell<bool>,
    cancellation: Notify,
    /// Admission levels of the services called below, which are returned with the reply. At most [`MAX_LEVELS`].
    levels: RefCell<Vec<LevelNote>>,
}

impl CallSpan {
    /// Creates a span without nested calls.
    pub fn new(
        request: RequestId,
        importance: Importance,
        deadline: MonotonicTime,
        entered: MonotonicTime,
        account: Option<NodeId>,
        client: u64,
    ) -> Self {
        Self {
            request,
            importance,
            deadline,
            entered,
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

    /// Sets the team that sent the client request.
    pub fn with_team(self, team: Option<TeamName>) -> Self {
        Self { team, ..self }
    }

    /// Sets whether the call, or one above it, is not the first attempt.
    pub fn with_repeat(self, is_repeat: bool) -> Self {
        Self { is_repeat, ..self }
    }

    /// Returns the fingerprint of the call, whose content is `content`.
    pub fn fingerprint(&self, content: CallContent<'_>) -> RequestFingerprint {
        *self.fingerprint.get_or_init(|| content.fingerprint())
    }

    /// Returns whether a nested call has reached an upstream or still may; in that case the call itself has run in
    /// part.
    pub fn may_have_nested(&self) -> bool {
        self.nested_ran.get() || self.nested_open.get() > 0
    }

    /// Returns whether a nested call failed in a way that a further run of this call would not avoid.
    pub fn has_failed_below(&self) -> bool {
        self.failed_below.get()
    }

    /// Records the outcome of a nested call.
    pub fn note_nested(&self, reply: &CallReply) {
        if reply.outcome != CallOutcome::Completed && !is_fault_of_node(reply) {
            self.failed_below.set(true);
        }
    }

    /// Cancels the call, and with it its nested calls.
    pub fn cancel(&self) {
        self.cancelled.set(true);
        self.cancellation.notify_waiters();
    }

    /// Waits until the call is cancelled; never returns if the call completes.
    pub async fn cancelled(&self) {
        let cancellation = self.cancellation.notified();
        if !self.cancelled.get() {
            cancellation.await;
        }
    }

    /// Records `notes`; each replaces an older note of the same guard and service.
    pub fn note_levels(&self, notes: &[LevelNote]) {
        let mut levels = self.levels.borrow_mut();
        for note in notes {
            levels.retain(|kept| kept.guard != note.guard || kept.service != note.service);
            levels.push(note.clone());
        }
        levels.sort_by_key(|note| Reverse(note.level.max(note.rate_level)));
        levels.truncate(MAX_LEVELS);
    }

    /// Returns the recorded levels.
    pub fn levels(&self) -> Vec<LevelNote> {
        self.levels.borrow().clone()
    }
}

/// Returns whether the nested call failed because its node lacks an upstream or a configuration, or is leaving: another
/// node may succeed. This excludes a service that has gone: no node has an upstream of it.
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

/// A nested call in progress. If dropped without [`NestedCallTracker::finish`], the call counts as possibly run.
pub struct NestedCallTracker {
    span: Rc<CallSpan>,
    ran: bool,
}

impl NestedCallTracker {
    /// Counts a nested call of `span` as in progress.
    pub fn begin(span: Rc<CallSpan>) -> Self {
        span.nested_open.set(span.nested_open.get() + 1);
        Self { span, ran: true }
    }

    /// Records the outcome of the nested call.
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

/// The calls that the upstream is processing, by their context.
///
/// A context is random, so that it cannot be guessed. Where only the upstream and the clients of its host can reach the
/// node, it is derived from the request's identity instead. It is valid only while its call is in flight.
#[derive(Default)]
pub struct CallsInFlight {
    spans: RefCell<IndexMap<u128, Rc<CallSpan>>>,
}

impl CallsInFlight {
    /// Inserts a call under its own context, or under a random one if it has none, and returns the context.
    pub fn insert(&self, own: Option<u128>, rng: &mut impl Rng, span: Rc<CallSpan>) -> u128 {
        let context = own.unwrap_or_else(|| rng.random::<u128>());
        self.spans.borrow_mut().insert(context, span);
        context
    }

    /// Returns the call of a context that the upstream has sent back; `None` if it is malformed or not in flight.
    pub fn find(&self, context: &str) -> Option<Rc<CallSpan>> {
        let context = u128::from_str_radix(context, 16).ok()?;
        self.spans.borrow().get(&context).cloned()
    }

    /// Removes a call that has ended, unless a later call uses the same context.
    pub fn remove(&self, context: u128, span: &CallSpan) {
        let mut spans = self.spans.borrow_mut();
        if spans.get(&context).is_some_and(|held| std::ptr::eq(&**held, span)) {
            spans.swap_remove(&context);
        }
    }
}

/// Formats a context as a header value.
pub fn context_text(context: u128) -> String {
    format!("{context:032x}")
}
