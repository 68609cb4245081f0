//! The fault in force.

use std::time::{Duration, Instant};

use super::{FaultCommand, FaultMode};

/// The fault in force and how long it stays so.
#[derive(Debug, Default)]
pub(super) struct FaultState {
    mode: FaultMode,
    delay: Duration,
    /// Requests that it still meets.
    left: Option<u64>,
    until: Option<Instant>,
}

/// What happens to one request.
#[derive(Clone, Copy, Debug)]
pub(super) struct FaultVerdict {
    pub(super) mode: FaultMode,
    pub(super) delay: Duration,
}

impl FaultState {
    pub(super) fn new(command: &FaultCommand) -> Self {
        Self {
            mode: command.mode,
            delay: Duration::from_millis(command.ms),
            left: command.count,
            until: command.for_ms.map(|ms| Instant::now() + Duration::from_millis(ms)),
        }
    }

    /// The fault that meets the next request; a lost answer meets writes only.
    pub(super) fn meet(&mut self, is_write: bool) -> FaultVerdict {
        if self.until.is_some_and(|until| Instant::now() >= until) || self.left == Some(0) {
            *self = Self::default();
        }
        if self.mode == FaultMode::AckLost && !is_write {
            return FaultVerdict { mode: FaultMode::Up, delay: Duration::ZERO };
        }
        if let Some(left) = &mut self.left {
            *left -= 1;
        }
        FaultVerdict { mode: self.mode, delay: self.delay }
    }
}
