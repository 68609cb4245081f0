//! How full the guard of an upstream is.

/// Thousandths in a whole.
const THOUSANDTHS: u64 = 1_000;

value_type! {
    /// Calls that run or wait at a guard, relative to the number that may run: 1 if all slots are in use and no call waits.
    pub struct UpstreamOccupancy {
        /// In thousandths; at least 1, because 0 stands for an unknown occupancy between nodes.
        thousandths: u16,
    }
}

impl UpstreamOccupancy {
    /// Computes the occupancy from the numbers of calls that run, that wait and that may run.
    pub fn new(in_flight: u32, queued: u32, limit: u32) -> Self {
        let calls = u64::from(in_flight) + u64::from(queued);
        let thousandths = calls * THOUSANDTHS / u64::from(limit.max(1));
        Self { thousandths: u16::try_from(thousandths).unwrap_or(u16::MAX).max(1) }
    }

    /// Converts the value sent between nodes; `None` if it is 0, which stands for an unknown occupancy.
    pub fn from_thousandths(thousandths: u16) -> Option<Self> {
        (thousandths > 0).then_some(Self { thousandths })
    }

    /// Returns the value to send between nodes.
    pub fn thousandths(self) -> u16 {
        self.thousandths
    }

    /// Returns the occupancy as a ratio.
    pub fn ratio(self) -> f64 {
        f64::from(self.thousandths) / THOUSANDTHS as f64
    }
}
