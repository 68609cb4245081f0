//! Metrics.
