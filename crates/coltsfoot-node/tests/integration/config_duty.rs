//! Tests of the configuration duty with a store that reports changes and peers that may not answer.

use std::time::Duration;

use coltsfoot_node::{
    clock::MonotonicClock,
    config::{
        AcceptedConfig, ConfigCell, ConfigHandle, ConfigOrigin, ConfigParts, ConfigThread,
        FreshnessCell, SubmitRequest,
    },
    dispatch::{DispatchCommand, DispatchHandle},
    gossip::GossipCommand,
};
use coltsfootroute::{id::NodeId, name::OperatorName, revision::Revision, schema::SchemaDocument};
use tokio::{
    sync::{mpsc, oneshot},
    time::{sleep, timeout},
};

use crate::util::{
    solo_node::SCHEMA,
    store_fixture::{LONG, StoreFixture, event_log},
};

const CHANNEL_CAPACITY: usize = 16;
const POLL: Duration = Duration::from_millis(10);

/// A configuration duty whose channels to the other duties are received by the test.
struct DutyFixture {
    handle: ConfigHandle,
    cell: ConfigCell,
    dispatch: mpsc::Receiver<DispatchCommand>,
    _gossip: mpsc::Receiver<GossipCommand>,
}

/// A request to a peer, which stays in flight until it is answered or dropped.
struct PendingPull {
    peer: NodeId,
    _reply: oneshot::Sender<Option<Vec<u8>>>,
}

impl DutyFixture {
    /// Starts a duty that has revision 1, accepted by another system, in force.
    async fn new() -> Self {
        let fixture = Self::start(&StoreFixture::new(), ConfigOrigin::External);
        fixture.handle.accept(accepted(1)).await;
        fixture.await_revision(1).await;
        fixture
    }

    /// Starts a duty that uses the table service of `store` and has no gossip with other nodes.
    fn start(store: &StoreFixture, origin: ConfigOrigin) -> Self {
        let (handle, commands) = ConfigThread::ring();
        let (dispatch_sender, dispatch) = mpsc::channel(CHANNEL_CAPACITY);
        let (gossip_sender, gossip) = mpsc::channel(CHANNEL_CAPACITY);
        let (events, _) = event_log(&store.metrics);
        let cell = ConfigCell::default();
        let parts = ConfigParts {
            origin,
            node: peer(1),
            peers: Vec::new(),
            cell: cell.clone(),
            freshness: FreshnessCell::default(),
            clock: MonotonicClock::new(),
            revoke_within: None,
            store: store.store.clone(),
            dispatch: DispatchHandle::new(dispatch_sender),
            gossip: gossip_sender,
            events,
            metrics: store.metrics.clone(),
        };
        ConfigThread::start(parts, commands).expect("thread");
        Self { handle, cell, dispatch, _gossip: gossip }
    }

    async fn await_revision(&self, revision: u64) {
        let reached = async {
            while self.cell.load().is_none_or(|config| config.revision() < revision) {
                sleep(POLL).await;
            }
        };
        timeout(LONG, reached).await.expect("the revision is in force");
    }

    /// Waits for the next request to a peer.
    async fn next_pull(&mut self) -> PendingPull {
        let asked = async {
            loop {
                match self.dispatch.recv().await.expect("the duty runs") {
                    DispatchCommand::PullConfig { peer, reply, .. } => {
                        return PendingPull { peer, _reply: reply };
                    }
                    _ => continue,
                }
            }
        };
        timeout(LONG, asked).await.expect("a peer is asked")
    }
}

fn peer(port: u16) -> NodeId {
    NodeId(([127, 0, 0, 1], port).into())
}

/// Submits a schema that builds on the revision `expected`, and waits until it is in force at `duty`.
async fn submit(duty: &DutyFixture, expected: u64) {
    let request = SubmitRequest {
        expected,
        key: format!("after-{expected}"),
        operator: OperatorName::new("amina"),
    };
    let schema = SCHEMA.replace("slots: 4", &format!("slots: {}", 5 + expected));
    duty.handle.submit(request, schema.into()).await;
    duty.await_revision(expected + 1).await;
}

fn accepted(revision: u64) -> AcceptedConfig {
    let document = SchemaDocument {
        deployment: format!("revision {revision}"),
        services: Vec::new(),
        teams: Vec::new(),
    };
    AcceptedConfig::new(Revision(revision), OperatorName::new("amina"), document)
}

/// Guards against a change that the store has reported in time but that waits behind a request to a dead peer.
#[tokio::test]
async fn a_change_from_the_store_is_in_force_while_a_peer_does_not_answer() {
    let mut duty = DutyFixture::new().await;
    duty.handle.report_peer_ahead(peer(2), Revision(5));
    let pending = duty.next_pull().await;

    duty.handle.accept(accepted(5)).await;

    duty.await_revision(5).await;
    assert_eq!(pending.peer, peer(2));
}

/// Guards against a change that never reaches the other nodes because the node that submitted it terminated before
/// notifying them.
#[tokio::test]
async fn a_revision_accepted_elsewhere_is_in_force_without_notification() {
    let store = StoreFixture::new();
    let submitter = DutyFixture::start(&store, ConfigOrigin::Submitted);
    let other = DutyFixture::start(&store, ConfigOrigin::Submitted);
    submit(&submitter, 0).await;
    other.await_revision(1).await;

    submit(&submitter, 1).await;

    other.await_revision(2).await;
}

/// Guards against skipping a second peer that has a revision because a first peer, since terminated, reported it
/// before.
#[tokio::test]
async fn another_peer_is_asked_while_the_first_does_not_answer() {
    let mut duty = DutyFixture::new().await;
    duty.handle.report_peer_ahead(peer(2), Revision(5));
    let first = duty.next_pull().await;

    duty.handle.report_peer_ahead(peer(3), Revision(5));

    let second = duty.next_pull().await;
    assert_eq!([first.peer, second.peer], [peer(2), peer(3)]);
}
