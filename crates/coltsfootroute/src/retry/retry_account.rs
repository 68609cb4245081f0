//! Retry account of one client request.

use super::{AcquireDenial, AcquireResult};
use crate::time::MonotonicTime;

/// Retry tokens of one client request.
///
/// Invariant: `granted` holds at most `budget` distinct ids and only grows.
#[derive(Clone, Debug)]
pub(super) struct RetryAccount {
    budget: u32,
    deadline: MonotonicTime,
    /// Granted ids, from which repeated messages are answered. Denied ids need not be stored, because a spent budget
    /// is never refilled.
    granted: Vec<u64>,
}

impl RetryAccount {
    pub(super) fn new(budget: u32, deadline: MonotonicTime) -> Self {
        Self { budget, deadline, granted: Vec::new() }
    }

    pub(super) fn acquire(&mut self, now: MonotonicTime, token_id: u64) -> AcquireResult {
        if self.granted.contains(&token_id) {
            return AcquireResult::Granted;
        }
        if self.deadline <= now {
            return AcquireResult::Denied(AcquireDenial::DeadlinePassed);
        }
        if self.granted_count() >= self.budget {
            return AcquireResult::Denied(AcquireDenial::BudgetSpent);
        }
        self.granted.push(token_id);
        AcquireResult::Granted
    }

    pub(super) fn remaining(&self) -> u32 {
        self.budget.saturating_sub(self.granted_count())
    }

    pub(super) fn granted_count(&self) -> u32 {
        // At most `budget`, which is a `u32`.
        self.granted.len() as u32
    }
}
