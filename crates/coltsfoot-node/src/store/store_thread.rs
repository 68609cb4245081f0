//! The thread that talks to the platform.

use std::{rc::Rc, thread};

use tokio::{
    runtime::{Builder, Runtime},
    sync::mpsc,
    task::{JoinSet, LocalSet},
};

use super::{
    StoreError, StoreHandle, StoreSettings, store_command::StoreCommand, store_worker::StoreWorker,
};

/// Starts the store thread.
#[derive(Debug)]
pub struct StoreThread;

impl StoreThread {
    /// Starts the thread and gives a handle to it.
    pub fn start(settings: StoreSettings) -> Result<StoreHandle, StoreError> {
        let (sender, receiver) = mpsc::channel(settings.queue);
        let runtime = Builder::new_current_thread().enable_all().build()?;
        thread::Builder::new()
            .name("store".to_owned())
            .spawn(move || run(&runtime, settings, receiver))?;
        Ok(StoreHandle::new(sender))
    }
}

fn run(runtime: &Runtime, settings: StoreSettings, receiver: mpsc::Receiver<StoreCommand>) {
    LocalSet::new().block_on(runtime, serve(settings, receiver));
}

async fn serve(settings: StoreSettings, mut receiver: mpsc::Receiver<StoreCommand>) {
    let most = settings.in_flight;
    let worker = Rc::new(StoreWorker::new(settings));
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
