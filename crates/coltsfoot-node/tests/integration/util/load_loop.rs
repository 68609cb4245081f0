//! Callers that go on calling until they are told to stop.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
};

use indexmap::IndexMap;
use tokio::{runtime::Runtime, task::JoinHandle};

use super::caller::PlannedCall;

/// Callers under way.
pub struct LoadLoop {
    stop: Arc<AtomicBool>,
    callers: Vec<JoinHandle<IndexMap<String, usize>>>,
}

impl LoadLoop {
    /// `count` callers, each with one call at a time, that turn to the next of `targets` after a
    /// refused connection and after each call.
    pub fn start(
        runtime: &Runtime,
        targets: &[SocketAddr],
        call: &PlannedCall,
        count: usize,
    ) -> Self {
        let stop = Arc::<AtomicBool>::default();
        let callers = (0..count).map(|caller| {
            let (stop, targets, call) = (stop.clone(), targets.to_vec(), call.clone());
            runtime.spawn(run(stop, targets, call, caller))
        });
        Self { callers: callers.collect(), stop }
    }

    /// Stops and counts the replies by their text.
    pub async fn stop(self) -> IndexMap<String, usize> {
        self.stop.store(true, Ordering::Relaxed);
        let mut tally = IndexMap::new();
        for caller in self.callers {
            for (text, count) in caller.await.expect("a caller") {
                *tally.entry(text).or_default() += count;
            }
        }
        tally
    }
}

async fn run(
    stop: Arc<AtomicBool>,
    targets: Vec<SocketAddr>,
    mut call: PlannedCall,
    caller: usize,
) -> IndexMap<String, usize> {
    let mut tally = IndexMap::new();
    let mut serial = 0;
    while !stop.load(Ordering::Relaxed) {
        call.body = format!("caller {caller} call {serial}");
        call.headers.retain(|(name, _)| name != "idempotency-key");
        call.headers.push(("idempotency-key".to_owned(), format!("{caller}-{serial}")));
        let text = call.make(targets[serial % targets.len()]).await;
        *tally.entry(text).or_default() += 1;
        serial += 1;
    }
    tally
}
