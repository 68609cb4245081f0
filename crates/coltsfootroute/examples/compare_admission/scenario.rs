//! Scenarios: what disturbs the upstream.

use std::{ops::Range, time::Duration};

/// Slots that the upstream declares.
pub const SLOTS: u32 = 30;
/// Mean service time outside of disturbances, in seconds.
pub const SERVICE_SECONDS: f64 = 0.020;
/// Load outside of disturbances, as a share of the capacity.
pub const USUAL_LOAD: f64 = 0.7;
/// Start of the disturbance.
pub const DISTURBED_FROM: Duration = Duration::from_secs(5);
/// End of the disturbance.
pub const DISTURBED_TO: Duration = Duration::from_secs(10);
/// End of arrivals.
pub const END: Duration = Duration::from_secs(20);

/// One scenario.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scenario {
    /// Poisson arrivals, no disturbance.
    Steady,
    /// Service times five times as long.
    Slowed,
    /// Service times thirty times as long: about the deadlines.
    Stalled,
    /// Three times the usual arrivals.
    Surge,
    /// Correlated bursts throughout, with the usual mean.
    Bursts,
    /// The upstream works on a third of its declared slots, contends and sheds.
    Overstated,
    /// The same with a tenth.
    Cold,
    /// Slowed and surge at once, clients that retry hard.
    Combined,
    /// As combined, while callers shed at the root by the levels that come back.
    CombinedRoot,
    /// As surge, while callers shed at the root by the levels that come back.
    SurgeRoot,
    /// Three upstreams, one of them slowed, arrivals x3, callers shed at the root.
    Uneven,
}

impl Scenario {
    pub const ALL: [Self; 11] = [
        Self::Steady,
        Self::Slowed,
        Self::Stalled,
        Self::Surge,
        Self::SurgeRoot,
        Self::Bursts,
        Self::Overstated,
        Self::Cold,
        Self::Combined,
        Self::CombinedRoot,
        Self::Uneven,
    ];

    pub fn title(self) -> &'static str {
        match self {
            Self::Steady => "Steady Poisson arrivals at 0.7 of the capacity",
            Self::Slowed => "Service times x5 for 5 s",
            Self::Stalled => "Service times x30 for 5 s",
            Self::Surge => "Arrivals x3 for 5 s",
            Self::SurgeRoot => "Arrivals x3 for 5 s, callers shed at the root",
            Self::Bursts => "Correlated bursts (2-state MMPP), mean 0.7 of the capacity",
            Self::Overstated => {
                "A third of the declared slots work, contention and shedding, for 5 s"
            }
            Self::Cold => "A tenth of the declared slots work, contention and shedding, for 5 s",
            Self::Combined => "Service times x3, arrivals x3, 3 retries after 50 ms, for 5 s",
            Self::CombinedRoot => "The same, callers shed at the root",
            Self::Uneven => {
                "Three upstreams, service times of one x5, arrivals x3, callers shed at the root"
            }
        }
    }

    /// Factor on the usual arrivals.
    pub fn demand(self, now: Duration) -> f64 {
        let surges = !matches!(
            self,
            Self::Steady
                | Self::Slowed
                | Self::Stalled
                | Self::Bursts
                | Self::Overstated
                | Self::Cold
        );
        if surges && is_disturbed(now) { 3.0 } else { 1.0 }
    }

    /// Upstreams of the service.
    pub fn upstreams(self) -> usize {
        if self == Self::Uneven { 3 } else { 1 }
    }

    /// Factor on service times of one upstream.
    pub fn slowness(self, now: Duration, upstream: usize) -> f64 {
        match self {
            Self::Uneven if upstream == 0 && is_disturbed(now) => 5.0,
            Self::Slowed if is_disturbed(now) => 5.0,
            Self::Stalled if is_disturbed(now) => 30.0,
            Self::Combined | Self::CombinedRoot if is_disturbed(now) => 3.0,
            _ => 1.0,
        }
    }

    /// Calls that the upstream can really work on at full speed.
    pub fn real_slots(self, now: Duration) -> u32 {
        match self {
            Self::Overstated if is_disturbed(now) => SLOTS / 3,
            Self::Cold if is_disturbed(now) => SLOTS / 10,
            _ => SLOTS,
        }
    }

    /// Retries of a refused or failed call.
    pub fn retries(self) -> u32 {
        if matches!(self, Self::Combined | Self::CombinedRoot) { 3 } else { 0 }
    }

    /// Whether callers shed by the levels that come back.
    pub fn sheds_at_root(self) -> bool {
        matches!(self, Self::SurgeRoot | Self::CombinedRoot | Self::Uneven)
    }

    /// Whether arrivals come in correlated bursts.
    pub fn is_bursty(self) -> bool {
        self == Self::Bursts
    }
}

impl Scenario {
    /// The arrivals that goodput is measured over.
    pub fn measured(self) -> Range<Duration> {
        match self {
            Self::Steady | Self::Bursts => Duration::ZERO..END,
            _ => DISTURBED_FROM..DISTURBED_TO,
        }
    }
}

/// Whether `now` lies in the disturbance.
pub fn is_disturbed(now: Duration) -> bool {
    now >= DISTURBED_FROM && now < DISTURBED_TO
}
