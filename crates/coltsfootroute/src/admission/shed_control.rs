//! Controller of a guard's shed level.

use std::time::Duration;

use super::ShedLevel;
use crate::{importance::Importance, time::MonotonicTime};

/// Length of one window of observation.
const WINDOW: Duration = Duration::from_millis(50);
/// Rise in a window for each call refused beyond the target, over the calls offered, in levels.
const RISE_FACTOR: f64 = 0.5;
/// Share of refusals at the guard that the level settles at: it keeps the queue filled.
const TARGET_REFUSED_SHARE: f64 = 0.10;
/// Fall in a window without refusals while the upstream is busy, in levels.
const BUSY_DECREASE: f64 = 0.02;
/// Factor of the fall in a window without refusals while the upstream has room.
const IDLE_DECAY_FACTOR: f64 = 0.8;
/// The constant part of that fall, in levels.
const IDLE_DECREASE: f64 = 0.02;
/// Most windows without any event that are worked through one by one; after these the level is open.
const MAX_REPLAYED_WINDOWS: u64 = 100;

/// Turns refusals into a [`ShedLevel`].
///
/// The level rises with the share of calls refused beyond a target, but never past the most important
/// level that was refused, so it doesn't wind up while callers lag behind. It falls slowly while the upstream
/// is still busy, which keeps it near the border, and quickly once the upstream has room.
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
    /// Creates a controller that sheds nothing.
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

    /// Closes the windows that have ended by `now`; `busy` tells whether all slots are in use.
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

    /// The level at `now`.
    pub fn level(&self, now: MonotonicTime) -> ShedLevel {
        let windows = windows_between(self.window_start, now);
        ShedLevel::from_levels(self.levels_after_windows(windows))
    }

    /// The level after the current window and `windows` − 1 empty ones.
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
