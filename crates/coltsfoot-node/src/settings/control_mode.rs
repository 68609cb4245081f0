//! Whether the node controls load.

/// Whether the node controls load or only forwards.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ControlMode {
    /// Admission, retry accounts and claims are in force.
    #[default]
    On,
    /// Plain forwarding, for the uncontrolled half of a paired measurement.
    Off,
}

impl ControlMode {
    /// Whether control is in force.
    pub fn is_on(self) -> bool {
        self == Self::On
    }
}
