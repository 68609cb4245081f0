//! Hybrid logical clock.

use super::{ClockDrift, HybridStamp};

/// Hybrid logical clock of one process (Kulkarni et al., 2014). Pure: wall time is an argument.
///
/// Why this clock orders the time line: wall clocks alone put an effect before its cause as soon as two
/// hosts disagree by more than a message takes, and step backwards under correction. Lamport clocks keep
/// cause before effect but say nothing of when, so an operator could not ask for a minute. Vector clocks
/// also tell concurrent events apart, but grow with the number of nodes. This one keeps cause before
/// effect at 12 bytes a message, and its stamps stay within the drift bound of wall time.
#[derive(Clone, Debug)]
pub struct HybridClock {
    /// Highest stamp issued or taken over. Never goes back.
    last: HybridStamp,
    /// How far a message's stamp may lie ahead of the own wall clock, in milliseconds.
    max_ahead_ms: u64,
}

impl HybridClock {
    /// Default bound on drift, in milliseconds: far above synchronised hosts, low enough that one host
    /// with a wrong date can't drag the others' time line away.
    pub const MAX_AHEAD_MS: u64 = 5_000;

    /// A clock that has issued nothing, with the default bound on drift.
    pub fn new() -> Self {
        Self { last: HybridStamp::default(), max_ahead_ms: Self::MAX_AHEAD_MS }
    }

    /// Sets the bound on drift.
    pub fn with_max_ahead_ms(mut self, max_ahead_ms: u64) -> Self {
        self.max_ahead_ms = max_ahead_ms;
        self
    }

    /// Stamp of an event of this process, or of a message it sends: higher than every stamp before it.
    pub fn tick(&mut self, wall_ms: u64) -> HybridStamp {
        let has_advanced = wall_ms > self.last.wall_ms;
        self.last = if has_advanced { HybridStamp::new(wall_ms, 0) } else { self.last.next() };
        self.last
    }

    /// Takes over the stamp of a received message, so that all later events here are ordered after it.
    ///
    /// # Errors
    ///
    /// [`ClockDrift`] if the stamp is too far ahead of `wall_ms`; the clock is then unchanged.
    pub fn observe(&mut self, stamp: HybridStamp, wall_ms: u64) -> Result<(), ClockDrift> {
        let ahead_ms = stamp.wall_ms.saturating_sub(wall_ms);
        if ahead_ms > self.max_ahead_ms {
            return Err(ClockDrift { stamp, ahead_ms });
        }
        self.last = self.last.max(stamp);
        Ok(())
    }

    /// The highest stamp issued or taken over.
    pub fn last(&self) -> HybridStamp {
        self.last
    }
}

impl Default for HybridClock {
    fn default() -> Self {
        Self::new()
    }
}
