//! Processor time of the listeners' workers.

use std::{cell::RefCell, sync::Arc};

use crate::metrics::{DutyMeter, NodeDuty, NodeMetrics};

thread_local! {
    // The server gives no place of its own to what belongs to a worker's thread.
    static METER: RefCell<Option<DutyMeter>> = const { RefCell::new(None) };
}

/// Reports the processor time of the calling worker, now and then.
pub fn report_worker(metrics: &Arc<NodeMetrics>) {
    METER.with_borrow_mut(|meter| {
        meter.get_or_insert_with(|| DutyMeter::new(metrics.clone(), NodeDuty::Http)).report();
    });
}
