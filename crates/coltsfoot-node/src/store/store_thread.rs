//! Thread that sends requests to the platform.

use std::{rc::Rc, sync::Arc, thread};

use tokio::{
    runtime::Builder,
    sync::mpsc,
    task::{JoinSet, LocalSet, spawn_local},
    time::interval,
};

use super::{
    StoreError, StoreHandle, StorePort, StoreSettings, store_command::StoreCommand,
    store_worker::StoreWorker,
};
use crate::{
    journal::EventSender,
    metrics::{DutyMeter, NodeDuty, NodeMetrics},
};

/// Starts the store thread.
#[derive(Debug)]
pub struct StoreThread;

impl StoreThread {
    /// Starts the thread and returns a handle to it; `create_port` runs on the new thread.
    ///
    /// # Errors
    ///
    /// [`StoreError`] if the runtime or the thread cannot be created.
    pub fn start<P: StorePort + 'static>(
        create_port: impl FnOnce(&StoreSettings, Arc<NodeMetrics>) -> P + Send + 'static,
        settings: StoreSettings,
        metrics: Arc<NodeMetrics>,
        events: EventSender,
    ) -> Result<StoreHandle, StoreError> {
        let (sender, receiver) = mpsc::channel(settings.queue);
        let eras = settings.eras.clone();
        let runtime = Builder::new_current_thread().enable_all().build()?;
        thread::Builder::new().name("store".to_owned()).spawn(move || {
            let meter = DutyMeter::new(metrics.clone(), NodeDuty::Store);
            let port = create_port(&settings, metrics.clone());
            let worker = StoreWorker::new(port, &settings, metrics, events);
            let max_in_flight = settings.in_flight;
            LocalSet::new().block_on(&runtime, serve(worker, max_in_flight, meter, receiver));
        })?;
        Ok(StoreHandle::new(sender, eras))
    }
}

/// Executes commands, at most `max_in_flight` concurrently.
async fn serve<P: StorePort + 'static>(
    worker: StoreWorker<P>,
    max_in_flight: usize,
    meter: DutyMeter,
    mut receiver: mpsc::Receiver<StoreCommand>,
) {
    spawn_local(report_duty(meter));
    let worker = Rc::new(worker);
    let mut tasks = JoinSet::new();
    while let Some(command) = receiver.recv().await {
        while tasks.len() >= max_in_flight {
            // Meanwhile commands wait in the bounded channel, and their deadlines continue to run.
            tasks.join_next().await;
        }
        while tasks.try_join_next().is_some() {}
        let worker = Rc::clone(&worker);
        tasks.spawn_local(async move { worker.execute(command).await });
    }
    while tasks.join_next().await.is_some() {}
}

async fn report_duty(mut meter: DutyMeter) {
    let mut reports = interval(DutyMeter::IDLE_PERIOD);
    loop {
        reports.tick().await;
        meter.report();
    }
}
