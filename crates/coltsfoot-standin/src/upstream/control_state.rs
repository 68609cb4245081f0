//! Faults in force.

use super::{ControlCommand, HealthMode};

/// What an upstream misbehaves in at the moment.
#[derive(Clone, Copy, Debug)]
pub(super) struct ControlState {
    /// Factor on the service time.
    pub(super) slow_factor: f64,
    /// Share of runs that fail.
    pub(super) fail_ratio: f64,
    /// Whether new work is shed.
    pub(super) shed: bool,
    /// What the health endpoint tells.
    pub(super) health: HealthMode,
    /// Share of answers cut off.
    pub(super) cut_answers: f64,
}

impl ControlState {
    /// No fault.
    pub(super) fn new() -> Self {
        Self {
            slow_factor: 1.0,
            fail_ratio: 0.0,
            shed: false,
            health: HealthMode::Ok,
            cut_answers: 0.0,
        }
    }

    /// Takes over what `command` sets.
    pub(super) fn apply(&mut self, command: ControlCommand) {
        self.slow_factor = command.slow_factor.unwrap_or(self.slow_factor);
        self.fail_ratio = command.fail_ratio.unwrap_or(self.fail_ratio);
        self.shed = command.shed.unwrap_or(self.shed);
        self.health = command.health.unwrap_or(self.health);
        self.cut_answers = command.cut_answers.unwrap_or(self.cut_answers);
    }
}
