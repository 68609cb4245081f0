//! What the health endpoint tells.

/// Whether `GET /health` tells the truth.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum HealthMode {
    /// The true load.
    #[default]
    Ok,
    /// Always healthy and idle, whatever the load.
    Lies,
}
