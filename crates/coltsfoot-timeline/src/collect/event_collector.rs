//! Collection from many nodes.

use std::net::SocketAddr;

use coltsfootroute::event::EventRecord;
use futures_util::{StreamExt, stream};
use indexmap::IndexMap;

use super::{ClientError, NodeClient, NodeCursor};

/// Nodes asked at the same time.
const MAX_CONCURRENT_NODES: usize = 32;
/// Pages read of one node in a round, so that a busy node can't hold a round for ever.
const MAX_PAGES: usize = 64;

/// What one round over all nodes brought.
#[derive(Debug, Default)]
pub struct CollectedRound {
    /// Events not collected before, in no order.
    pub records: Vec<EventRecord>,
    /// Nodes that gave no, or not all, events.
    pub failures: Vec<(SocketAddr, ClientError)>,
}

/// Collects the events of many nodes, round by round.
pub struct EventCollector {
    client: NodeClient,
    cursors: IndexMap<SocketAddr, NodeCursor>,
}

impl EventCollector {
    /// A collector from `nodes`, by their host listeners.
    pub fn new(nodes: &[SocketAddr]) -> Self {
        let cursors = nodes.iter().map(|node| (*node, NodeCursor::new())).collect();
        Self { client: NodeClient::new(), cursors }
    }

    /// Asks every node for what is new.
    pub async fn collect_round(&mut self) -> CollectedRound {
        let client = &self.client;
        let reads = self.cursors.iter_mut().map(|(node, cursor)| async move {
            let mut records = Vec::new();
            let result = read_node(client, *node, cursor, &mut records).await;
            (*node, records, result)
        });
        let mut reads = stream::iter(reads).buffer_unordered(MAX_CONCURRENT_NODES);
        let mut round = CollectedRound::default();
        while let Some((node, records, result)) = reads.next().await {
            round.records.extend(records);
            round.failures.extend(result.err().map(|error| (node, error)));
        }
        round
    }
}

async fn read_node(
    client: &NodeClient,
    node: SocketAddr,
    cursor: &mut NodeCursor,
    records: &mut Vec<EventRecord>,
) -> Result<(), ClientError> {
    for _ in 0..MAX_PAGES {
        let page = client.events_since(node, cursor.next()).await?;
        if page.is_empty() {
            break;
        }
        if cursor.advance(&page) {
            records.extend(page);
        }
    }
    Ok(())
}
