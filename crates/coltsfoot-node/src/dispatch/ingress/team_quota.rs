//! The credit of one team at this node, and the requests that wait for it.

use std::cell::{Cell, RefCell};

use coltsfootroute::{quota::TeamCredit, time::MonotonicTime};
use tokio::sync::Notify;

/// The credit of one team at this node, and the requests that wait for it.
pub(super) struct TeamQuota {
    pub(super) credit: RefCell<TeamCredit>,
    /// Whether a request to an owner is pending.
    pub(super) is_requesting: Cell<bool>,
    /// Number of requests that wait for credit.
    pub(super) waiting: Cell<u32>,
    /// Notified when a request to an owner has ended, with an answer or without, and again once a new one may be sent.
    pub(super) answered: Notify,
}

impl TeamQuota {
    /// Creates a quota without credit.
    pub(super) fn new(now: MonotonicTime) -> Self {
        Self {
            credit: RefCell::new(TeamCredit::new(now)),
            is_requesting: Cell::new(false),
            waiting: Cell::new(0),
            answered: Notify::new(),
        }
    }
}
