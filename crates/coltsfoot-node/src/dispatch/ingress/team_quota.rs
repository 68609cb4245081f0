//! The credit of one team at this node, and who waits for it.

use std::cell::{Cell, RefCell};

use coltsfootroute::{quota::TeamCredit, time::MonotonicTime};
use tokio::sync::Notify;

/// The credit of one team at this node, and who waits for it.
pub(super) struct TeamQuota {
    pub(super) credit: RefCell<TeamCredit>,
    /// Whether an owner is being asked.
    pub(super) is_requesting: Cell<bool>,
    /// Requests that wait for credit.
    pub(super) waiting: Cell<u32>,
    /// Woken when an owner has answered, or none has.
    pub(super) answered: Notify,
}

impl TeamQuota {
    /// No credit yet.
    pub(super) fn new(now: MonotonicTime) -> Self {
        Self {
            credit: RefCell::new(TeamCredit::new(now)),
            is_requesting: Cell::new(false),
            waiting: Cell::new(0),
            answered: Notify::new(),
        }
    }
}
