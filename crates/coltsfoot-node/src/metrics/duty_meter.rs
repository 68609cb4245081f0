//! Processor time of a duty's thread.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use super::{NodeDuty, NodeMetrics, host_usage::thread_processor_time};

/// Shortest time between two reports of a thread: reading its clock is a system call.
const REPORT_PERIOD: Duration = Duration::from_secs(1);

/// Reports the processor time of one thread of a duty. A duty may have several threads.
pub struct DutyMeter {
    metrics: Arc<NodeMetrics>,
    duty: NodeDuty,
    /// Processor time reported so far.
    reported: Duration,
    due: Instant,
}

impl DutyMeter {
    /// Time between two reports of an idle thread.
    pub const IDLE_PERIOD: Duration = Duration::from_secs(5);

    /// Creates a meter for one thread of `duty`.
    pub fn new(metrics: Arc<NodeMetrics>, duty: NodeDuty) -> Self {
        Self { metrics, duty, reported: Duration::ZERO, due: Instant::now() }
    }

    /// Reports the calling thread's time, at most once a second. Must always be called by the same thread.
    pub fn report(&mut self) {
        let now = Instant::now();
        if now >= self.due {
            self.due = now + REPORT_PERIOD;
            self.note(thread_processor_time());
        }
    }

    /// Reports that the thread has used `total` so far; a smaller total than before is ignored.
    pub fn note(&mut self, total: Duration) {
        let increment = total.saturating_sub(self.reported);
        self.metrics.process.add_duty_processor_time(self.duty, increment);
        self.reported += increment;
    }
}
