//! What other nodes may ask of this one.

use std::rc::Rc;

use capnp::Error;
use capnp_rpc::{RpcSystem, rpc_twoparty_capnp::Side, twoparty::VatNetwork};
use coltsfoot_wire::{
    peer::{CallRequest, join_id, write_claim_state, write_take_answer},
    peer_capnp::peer,
};
use futures_util::AsyncReadExt as _;
use tokio::net::{TcpListener, TcpStream};
use tokio_util::compat::TokioAsyncReadCompatExt as _;

use super::PeerHandler;
use crate::{
    dispatch::context::{CLAIM_BYTES, SINCE_BYTES, TAKE_BYTES, WORD_BYTES},
    metrics::ControlKind,
};

/// The interface as other nodes see it.
struct PeerServer<H> {
    handler: Rc<H>,
}

impl<H: PeerHandler + 'static> peer::Server for PeerServer<H> {
    async fn call(
        self: Rc<Self>,
        params: peer::CallParams,
        mut results: peer::CallResults,
    ) -> Result<(), Error> {
        let call = CallRequest::read(params.get()?.get_request()?)?;
        self.handler.context().observe(call.stamp);
        let mut reply = self.handler.call(call).await;
        reply.stamp = self.handler.context().events.stamp();
        reply.write(results.get().init_reply());
        Ok(())
    }

    async fn take_retry(
        self: Rc<Self>,
        params: peer::TakeRetryParams,
        mut results: peer::TakeRetryResults,
    ) -> Result<(), Error> {
        let params = params.get()?;
        let request = join_id(params.get_request_high(), params.get_request_low());
        let token = self.handler.take_token(request, params.get_take_id());
        results.get().set_answer(write_take_answer(token.answer));
        results.get().set_remaining(token.remaining);
        self.handler.context().count_answered(ControlKind::Account, TAKE_BYTES, WORD_BYTES);
        Ok(())
    }

    async fn config_since(
        self: Rc<Self>,
        params: peer::ConfigSinceParams,
        mut results: peer::ConfigSinceResults,
    ) -> Result<(), Error> {
        let delta = self.handler.context().config_since(params.get()?.get_revision())?;
        results.get().set_delta(&delta);
        self.handler.context().count_answered(ControlKind::Configuration, SINCE_BYTES, delta.len());
        Ok(())
    }

    async fn claim_state(
        self: Rc<Self>,
        params: peer::ClaimStateParams,
        mut results: peer::ClaimStateResults,
    ) -> Result<(), Error> {
        let params = params.get()?;
        let claim = join_id(params.get_claim_high(), params.get_claim_low());
        results.get().set_state(write_claim_state(self.handler.claim_state(claim)));
        self.handler.context().count_answered(ControlKind::Claim, CLAIM_BYTES, WORD_BYTES);
        Ok(())
    }
}

/// Accepts connections of other nodes for as long as the process runs.
pub async fn accept_peers<H: PeerHandler + 'static>(listener: TcpListener, handler: Rc<H>) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => serve_peer(stream, handler.clone()),
            // Out of descriptors: closing connections frees some, so try again a little later.
            Err(_) => tokio::time::sleep(ACCEPT_PAUSE).await,
        }
    }
}

/// Pause after a failed accept.
const ACCEPT_PAUSE: std::time::Duration = std::time::Duration::from_millis(20);

fn serve_peer<H: PeerHandler + 'static>(stream: TcpStream, handler: Rc<H>) {
    // Without it answers wait for the peer's delayed acknowledgement; a failure only costs time.
    let _ = stream.set_nodelay(true);
    let (reader, writer) = stream.compat().split();
    let network = VatNetwork::new(reader, writer, Side::Server, Default::default());
    let server: peer::Client = capnp_rpc::new_client(PeerServer { handler });
    let system = RpcSystem::new(Box::new(network), Some(server.client));
    tokio::task::spawn_local(system);
}
