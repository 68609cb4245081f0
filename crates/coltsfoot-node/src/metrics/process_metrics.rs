//! Metrics of the process.

use std::time::Duration;

use prometheus::{Counter, CounterVec, IntCounter, IntGauge};

use super::{
    MetricsError, NodeDuty,
    host_usage::{process_processor_time, resident_bytes},
    metric_label::MetricLabel,
    metric_registry::{MetricRegistry, gauge_value},
};
use crate::memory::MemoryUsage;

/// Metrics of the process: its use of the host, and the events that its journal dropped.
pub struct ProcessMetrics {
    processor: Counter,
    duty_processor: CounterVec,
    resident: IntGauge,
    events_dropped: IntCounter,
    held: IntGauge,
    held_limit: IntGauge,
    holds_refused: IntCounter,
}

impl ProcessMetrics {
    pub(super) fn new(registry: &MetricRegistry) -> Result<Self, MetricsError> {
        let metrics = Self {
            processor: registry
                .seconds("coltsfoot_processor_seconds_total", "Processor time of the process")?,
            duty_processor: registry.seconds_by(
                "coltsfoot_duty_processor_seconds_total",
                "Processor time by duty",
                "duty",
            )?,
            resident: registry.gauge("coltsfoot_resident_bytes", "Resident memory")?,
            events_dropped: registry.counter(
                "coltsfoot_events_dropped_total",
                "Events that did not fit the journal's queue",
            )?,
            held: registry.gauge("coltsfoot_held_bytes", "Memory held for requests and answers")?,
            held_limit: registry
                .gauge("coltsfoot_held_bytes_limit", "Most memory held for requests and answers")?,
            holds_refused: registry.counter(
                "coltsfoot_holds_refused_total",
                "Requests and answers for which there was no memory",
            )?,
        };
        for duty in NodeDuty::ALL {
            metrics.add_duty_processor_time(*duty, Duration::ZERO);
        }
        Ok(metrics)
    }

    /// Adds processor time of a thread of `duty`; see [`DutyMeter`](super::DutyMeter).
    pub fn add_duty_processor_time(&self, duty: NodeDuty, increment: Duration) {
        let counter = self.duty_processor.with_label_values(&[duty.as_str()]);
        counter.inc_by(increment.as_secs_f64());
    }

    /// Sets the number of dropped events, see [`EventReader::dropped`](crate::journal::EventReader::dropped).
    pub fn set_events_dropped(&self, dropped: u64) {
        self.events_dropped.inc_by(dropped.saturating_sub(self.events_dropped.get()));
    }

    /// Updates the figures of the memory that is held for requests and answers.
    pub fn set_memory(&self, usage: MemoryUsage) {
        self.held.set(gauge_value(usage.held as u64));
        self.held_limit.set(gauge_value(usage.limit as u64));
        self.holds_refused.inc_by(usage.refused.saturating_sub(self.holds_refused.get()));
    }

    /// Updates the use of the host.
    pub(super) fn refresh(&self) {
        raise_to(&self.processor, process_processor_time());
        self.resident.set(gauge_value(resident_bytes()));
    }
}

/// Raises a counter to `total`; counters accept only increments that are not negative.
fn raise_to(counter: &Counter, total: Duration) {
    let increment = total.as_secs_f64() - counter.get();
    counter.inc_by(increment.max(0.0));
}
