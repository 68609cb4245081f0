//! Faults on command.

use super::HealthMode;

/// Body of `POST /control`; what is absent stays as it is.
#[derive(Clone, Copy, Debug, Default, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ControlCommand {
    /// Factor on the service time of runs that start from now on; 1 is normal.
    #[serde(default)]
    pub slow_factor: Option<f64>,
    /// Share of runs that end in a failure, 0 to 1.
    #[serde(default)]
    pub fail_ratio: Option<f64>,
    /// Whether all new work is shed.
    #[serde(default)]
    pub shed: Option<bool>,
    /// What the health endpoint tells.
    #[serde(default)]
    pub health: Option<HealthMode>,
    /// Share of answers cut off in the middle, 0 to 1.
    #[serde(default)]
    pub cut_answers: Option<f64>,
}
