//! Controller of a guard's shed level, driven by refusals.

use std::time::Duration;

use super::ShedLevel;
use crate::{importance::Importance, time::MonotonicTime};

/// Length of one observation window.
const WINDOW: Duration = Duration::from_millis(50);
/// Increase in a window, in levels, per unit of the share of refused calls above the target.
const RISE_FACTOR: f64 = 0.5;
/// Share of refused calls at which the level settles. Some refusals at the guard keep the queue filled.
const TARGET_REFUSED_SHARE: f64 = 0.10;
/// Decrease in a window without refusals while all slots are in use, in levels.
const BUSY_DECREASE: f64 = 0.02;
/// Factor applied to the level in a window without refusals while the upstream has free slots.
const IDLE_DECAY_FACTOR: f64 = 0.8;
/// Constant decrease in such a window, in levels, in addition to the factor.
const IDLE_DECREASE: f64 = 0.02;
/// Largest number of ended windows that are evaluated one by one; after more than that the level is open.
const MAX_REPLAYED_WINDOWS: u64 = 100;

/// Derives a [`ShedLevel`] from the share of refused calls.
///
/// The level rises in proportion to the share of refused calls above a target, but never beyond the highest
/// importance that was refused. This prevents integral windup while callers still use an older level. The level falls
/// slowly while all slots are in use, which keeps it near the border, and quickly once slots are free.
#[derive(Clone, Debug)]
pub(super) struct ShedControl {
    levels: f64,
    window_start: MonotonicTime,
    offered: u32,
    refused: u32,
    highest_refused: Option<Importance>,
    busy: bool,
}

impl ShedControl {
    /// Creates a controller with an open level.
    pub fn new() -> Self {
        Self {
            levels: 0.0,
            window_start: MonotonicTime::ZERO,
            offered: 0,
            refused: 0,
            highest_refused: None,
            busy: false,
        }
    }

    /// Closes the windows that have ended by `now`; `busy` is whether all slots are in use.
    pub fn advance(&mut self, now: MonotonicTime, busy: bool) {
        self.busy |= busy;
        let windows = windows_between(self.window_start, now);
        if windows == 0 {
            return;
        }
        self.levels = self.levels_after_windows(windows);
        self.window_start = self.window_start + WINDOW * u32::try_from(windows).unwrap_or(u32::MAX);
        self.offered = 0;
        self.refused = 0;
        self.highest_refused = None;
        self.busy = busy;
    }

    /// Counts an offered call.
    pub fn on_offer(&mut self) {
        self.offered += 1;
    }

    /// Counts a call refused for overload.
    pub fn on_refusal(&mut self, importance: Importance) {
        self.refused += 1;
        self.highest_refused = self.highest_refused.max(Some(importance));
    }

    /// Returns the level at `now`.
    pub fn level(&self, now: MonotonicTime) -> ShedLevel {
        let windows = windows_between(self.window_start, now);
        ShedLevel::from_levels(self.levels_after_windows(windows))
    }

    /// Returns the level after the current window and `windows` − 1 empty windows.
    fn levels_after_windows(&self, windows: u64) -> f64 {
        if windows == 0 {
            return self.levels;
        }
        if windows > MAX_REPLAYED_WINDOWS {
            return 0.0;
        }
        let first = self.level_after_current_window();
        (1..windows).fold(first, |levels, _| idle_decrease(levels))
    }

    fn level_after_current_window(&self) -> f64 {
        if let Some(highest) = self.highest_refused {
            let share = f64::from(self.refused) / f64::from(self.offered.max(self.refused));
            let cap = (highest.index() as f64 + 1.0).max(self.levels);
            return (self.levels + RISE_FACTOR * (share - TARGET_REFUSED_SHARE))
                .min(cap)
                .clamp(0.0, ShedLevel::MAX.levels());
        }
        if self.busy { (self.levels - BUSY_DECREASE).max(0.0) } else { idle_decrease(self.levels) }
    }
}

fn idle_decrease(levels: f64) -> f64 {
    (levels * IDLE_DECAY_FACTOR - IDLE_DECREASE).max(0.0)
}

fn windows_between(start: MonotonicTime, now: MonotonicTime) -> u64 {
    (now.since(start).as_micros() / WINDOW.as_micros()) as u64
}
