//! The configuration duty between a store that tells of changes and peers that may not answer.

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

const RING: usize = 16;
const POLL: Duration = Duration::from_millis(10);

/// The duty, with the other duties' rings in the test's hands.
struct DutyFixture {
    handle: ConfigHandle,
    cell: ConfigCell,
    dispatch: mpsc::Receiver<DispatchCommand>,
    _gossip: mpsc::Receiver<GossipCommand>,
}

/// A question to a peer, which stays open until it is answered or dropped.
struct OpenPull {
    peer: NodeId,
    _reply: oneshot::Sender<Option<Vec<u8>>>,
}

impl DutyFixture {
    /// A duty that has revision 1 in force, which another system has accepted.
    async fn new() -> Self {
        let fixture = Self::start(&StoreFixture::new(), ConfigOrigin::External);
        fixture.handle.accept(accepted(1)).await;
        fixture.await_revision(1).await;
        fixture
    }

    /// A duty on the table service of `store`, which no gossip connects with others.
    fn start(store: &StoreFixture, origin: ConfigOrigin) -> Self {
        let (handle, commands) = ConfigThread::ring();
        let (dispatch_ring, dispatch) = mpsc::channel(RING);
        let (gossip_ring, gossip) = mpsc::channel(RING);
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
            dispatch: DispatchHandle::new(dispatch_ring),
            gossip: gossip_ring,
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

    /// The next question to a peer.
    async fn next_pull(&mut self) -> OpenPull {
        let asked = async {
            loop {
                match self.dispatch.recv().await.expect("the duty runs") {
                    DispatchCommand::PullConfig { peer, reply, .. } => {
                        return OpenPull { peer, _reply: reply };
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

/// Has a schema accepted in place of the revision `expected`, and waits until it is in force at that duty.
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

/// Guards against a change that the store has told of in time and that waits behind a question to a dead peer.
#[tokio::test]
async fn what_the_store_tells_is_in_force_while_a_peer_does_not_answer() {
    let mut duty = DutyFixture::new().await;
    duty.handle.report_peer_ahead(peer(2), Revision(5));
    let open = duty.next_pull().await;

    duty.handle.accept(accepted(5)).await;

    duty.await_revision(5).await;
    assert_eq!(open.peer, peer(2));
}

/// Guards against a change that nobody hears of since the node that had it accepted is gone before it has told others.
#[tokio::test]
async fn what_was_accepted_elsewhere_is_in_force_though_nobody_tells_of_it() {
    let store = StoreFixture::new();
    let accepter = DutyFixture::start(&store, ConfigOrigin::Submitted);
    let other = DutyFixture::start(&store, ConfigOrigin::Submitted);
    submit(&accepter, 0).await;
    other.await_revision(1).await;

    submit(&accepter, 1).await;

    other.await_revision(2).await;
}

/// Guards against a second peer that knows being passed over since the first one, which has died, told it before.
#[tokio::test]
async fn another_peer_is_asked_while_the_first_does_not_answer() {
    let mut duty = DutyFixture::new().await;
    duty.handle.report_peer_ahead(peer(2), Revision(5));
    let first = duty.next_pull().await;

    duty.handle.report_peer_ahead(peer(3), Revision(5));

    let second = duty.next_pull().await;
    assert_eq!([first.peer, second.peer], [peer(2), peer(3)]);
}
