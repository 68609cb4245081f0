//! A metric that can't be exported.

/// A metric's definition is wrong; a fault of the program, found when it starts.
#[derive(Debug, thiserror::Error)]
#[error("metric not exported: {0}")]
pub struct MetricsError(#[from] prometheus::Error);
