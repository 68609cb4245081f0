//! Metrics of configuration, membership and control traffic.

use prometheus::{IntCounterVec, IntGauge, IntGaugeVec};

use super::{
    ControlKind, MemberState, MetricsError, TrafficDirection,
    metric_label::MetricLabel,
    metric_registry::{MetricRegistry, gauge_value},
};

/// Metrics of configuration, membership and control traffic.
pub struct ControlMetrics {
    revision: IntGauge,
    members: IntGaugeVec,
    bytes: IntCounterVec,
}

impl ControlMetrics {
    pub(super) fn new(registry: &MetricRegistry) -> Result<Self, MetricsError> {
        let metrics = Self {
            revision: registry.gauge(
                "coltsfoot_revision_in_force",
                "Configuration revision in force, 0 before the first",
            )?,
            members: registry.gauges("coltsfoot_members", "Members known", "state")?,
            bytes: registry.counters(
                "coltsfoot_control_bytes_total",
                "Bytes of control traffic",
                &["kind", "direction"],
            )?,
        };
        metrics.export_all_labels();
        Ok(metrics)
    }

    /// Sets the configuration revision in force.
    pub fn set_revision(&self, revision: u64) {
        self.revision.set(gauge_value(revision));
    }

    /// Sets the number of members known in `state`.
    pub fn set_members(&self, state: MemberState, count: usize) {
        self.members.with_label_values(&[state.as_str()]).set(gauge_value(count as u64));
    }

    /// Adds control traffic.
    pub fn add_bytes(&self, kind: ControlKind, direction: TrafficDirection, bytes: usize) {
        let labels = [kind.as_str(), direction.as_str()];
        self.bytes.with_label_values(&labels).inc_by(bytes as u64);
    }

    fn export_all_labels(&self) {
        for state in MemberState::ALL {
            self.set_members(*state, 0);
        }
        for kind in ControlKind::ALL {
            self.add_bytes(*kind, TrafficDirection::Sent, 0);
            self.add_bytes(*kind, TrafficDirection::Received, 0);
        }
    }
}
