//! How far one node has been read.

use coltsfootroute::{event::EventRecord, id::Incarnation};

/// How far one node has been read.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct NodeCursor {
    /// The node's life that `next` counts in; `None` before the first event.
    life: Option<Incarnation>,
    /// Sequence number to ask for next.
    next: u64,
}

impl NodeCursor {
    /// A cursor at the start.
    pub fn new() -> Self {
        Self::default()
    }

    /// Sequence number to ask for next.
    pub fn next(&self) -> u64 {
        self.next
    }

    /// Takes one page; whether to keep its events. A page of another life than the last one was asked for
    /// with a sequence number that means nothing there: it is not kept, and the cursor goes to that
    /// life's start.
    pub fn advance(&mut self, page: &[EventRecord]) -> bool {
        let Some(last) = page.last() else { return true };
        let is_restarted = self.life.is_some_and(|life| life != last.incarnation);
        self.life = Some(last.incarnation);
        self.next = if is_restarted { 0 } else { last.sequence.saturating_add(1) };
        !is_restarted
    }
}
