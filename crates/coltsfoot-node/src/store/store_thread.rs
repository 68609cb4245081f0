//! The thread that talks to the platform.

use std::{rc::Rc, sync::Arc, thread};

use tokio::{
    runtime::{Builder, Runtime},
    sync::mpsc,
    task::{JoinSet, LocalSet, spawn_local},
    time::interval,
};

use super::{
    StoreError, StoreHandle, StoreSettings, store_command::StoreCommand, store_worker::StoreWorker,
};
use crate::metrics::{DutyMeter, NodeDuty, NodeMetrics};

/// Starts the store thread.
#[derive(Debug)]
pub struct StoreThread;

impl StoreThread {
    /// Starts the thread and gives a handle to it.
    ///
    /// # Errors
    ///
    /// [`StoreError`] if the runtime or the thread cannot be created.
    pub fn start(
        settings: StoreSettings,
        metrics: Arc<NodeMetrics>,
    ) -> Result<StoreHandle, StoreError> {
        let (sender, receiver) = mpsc::channel(settings.queue);
        let runtime = Builder::new_current_thread().enable_all().build()?;
        thread::Builder::new()
            .name("store".to_owned())
            .spawn(move || run(&runtime, settings, metrics, receiver))?;
        Ok(StoreHandle::new(sender))
    }
}

fn run(
    runtime: &Runtime,
    settings: StoreSettings,
    metrics: Arc<NodeMetrics>,
    receiver: mpsc::Receiver<StoreCommand>,
) {
    LocalSet::new().block_on(runtime, serve(settings, metrics, receiver));
}

async fn serve(
    settings: StoreSettings,
    metrics: Arc<NodeMetrics>,
    mut receiver: mpsc::Receiver<StoreCommand>,
) {
    let most = settings.in_flight;
    spawn_local(report_duty(metrics.clone()));
    let worker = Rc::new(StoreWorker::new(settings, metrics));
    let mut tasks = JoinSet::new();
    while let Some(command) = receiver.recv().await {
        while tasks.len() >= most {
            // Commands wait in the bounded queue meanwhile; their deadlines run on.
            tasks.join_next().await;
        }
        while tasks.try_join_next().is_some() {}
        let worker = Rc::clone(&worker);
        tasks.spawn_local(async move { worker.carry_out(command).await });
    }
    while tasks.join_next().await.is_some() {}
}

async fn report_duty(metrics: Arc<NodeMetrics>) {
    let mut meter = DutyMeter::new(metrics, NodeDuty::Store);
    let mut reports = interval(DutyMeter::IDLE_PERIOD);
    loop {
        reports.tick().await;
        meter.report();
    }
}
