//! Callers that send requests until they are stopped.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
};

use indexmap::{IndexMap, IndexSet};
use tokio::{runtime::Runtime, task::JoinHandle};

use super::caller::PlannedCall;

/// Replies to each key, in order.
pub type KeyReplies = IndexMap<String, Vec<String>>;

/// Load that the callers generate.
#[derive(Clone, Debug)]
pub struct LoadPlan {
    /// Nodes called in turn; a caller stops calling a node that announces its leave, unless it is the only one left.
    pub targets: Vec<SocketAddr>,
    pub call: PlannedCall,
    pub callers: usize,
    /// Maximum number of times a caller repeats a request under its key, at the next node, until it has an answer.
    pub repeats: usize,
}

/// Running callers.
pub struct LoadLoop {
    stop: Arc<AtomicBool>,
    callers: Vec<JoinHandle<KeyReplies>>,
}

impl LoadLoop {
    pub fn start(runtime: &Runtime, plan: &LoadPlan) -> Self {
        let stop = Arc::<AtomicBool>::default();
        let callers = (0..plan.callers).map(|caller| {
            let (stop, plan) = (stop.clone(), plan.clone());
            runtime.spawn(run(stop, plan, caller))
        });
        Self { callers: callers.collect(), stop }
    }

    pub async fn stop(self) -> KeyReplies {
        self.stop.store(true, Ordering::Relaxed);
        let mut replies = KeyReplies::new();
        for caller in self.callers {
            replies.extend(caller.await.expect("a caller"));
        }
        replies
    }
}

async fn run(stop: Arc<AtomicBool>, plan: LoadPlan, caller: usize) -> KeyReplies {
    let mut replies = KeyReplies::new();
    let (mut sent, mut targets) = (caller, plan.targets.clone());
    while !stop.load(Ordering::Relaxed) {
        let key = format!("load-{caller}-{}", replies.len());
        let mut call = plan.call.clone();
        call.body = format!("body of {key}");
        call.headers.push(("idempotency-key".to_owned(), key.clone()));
        let received: &mut Vec<String> = replies.entry(key).or_default();
        for _ in 0..=plan.repeats {
            let target = targets[sent % targets.len()];
            let reply = call.make(target).await;
            if reply.ends_with(" leaving") && targets.len() > 1 {
                targets.retain(|other| *other != target);
            }
            received.push(reply);
            sent += 1;
            if received.last().is_some_and(|text| text.starts_with("200")) {
                break;
            }
        }
    }
    replies
}

/// Returns the kinds of replies, without connections refused by a stopped node, which are not requests.
pub fn kinds(replies: &KeyReplies) -> Vec<String> {
    let all: IndexSet<_> = replies.values().flatten().filter(|text| *text != "refused").collect();
    let mut kinds: Vec<_> = all.into_iter().map(|text| format!("some {text}")).collect();
    kinds.sort();
    kinds
}

/// Returns replies that contradict the actual number of `runs` of an operation that must not be repeated.
pub fn false_reports(replies: &KeyReplies, runs: impl Fn(&str) -> usize) -> Vec<String> {
    let judge = |(key, received): (&String, &Vec<String>)| {
        let nothing_ran =
            received.iter().all(|text| text == "refused" || text.contains(" not-run "));
        let has_answer = received.iter().any(|text| text.starts_with("200"));
        let verdict = match runs(key) {
            0 if has_answer => "answered without a run",
            0 => return None,
            1 if nothing_ran => "said not to have run, and ran",
            1 => return None,
            _ => "RAN TWICE",
        };
        Some(format!("{key} {verdict}: {received:?}"))
    };
    replies.iter().filter_map(judge).collect()
}
