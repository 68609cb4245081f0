//! Serves the requests of other nodes.

use std::rc::Rc;

use capnp::Error;
use capnp_rpc::{RpcSystem, rpc_twoparty_capnp::Side, twoparty::VatNetwork};
use coltsfoot_wire::{
    peer::{
        CallRequest, join_id, read_address, read_quarantine_news, write_claim_state,
        write_credit_grant, write_quarantine_news, write_take_answer,
    },
    peer_capnp::peer,
};
use coltsfootroute::{id::NodeId, name::TeamName};
use futures_util::{AsyncReadExt as _, io::Cursor};
use tokio::net::{TcpListener, TcpStream};

use super::{
    CreditDemand, PeerHandler,
    call_frame::{CALLS_PREFACE, FRAME_HEAD_BYTES, LARGE_CALL_PREFACE},
    call_service::serve_calls,
    large_call_service::serve_large_call,
    link_stream::{LinkReader, LinkWriter, link_stream},
};
use crate::{
    dispatch::context::{
        CLAIM_REQUEST_BYTES, CONFIG_REQUEST_BYTES, CREDIT_REQUEST_BYTES, CREDIT_RESPONSE_BYTES,
        TOKEN_REQUEST_BYTES, WORD_BYTES,
    },
    metrics::ControlKind,
};

/// Server of the Cap'n Proto interface that other nodes use.
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
        let reply = Box::pin(self.handler.clone().call(call)).await;
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
        let token = self.handler.acquire_token(request, params.get_take_id());
        results.get().set_answer(write_take_answer(token.answer));
        results.get().set_remaining(token.remaining);
        self.handler.context().count_received_request(
            ControlKind::Account,
            TOKEN_REQUEST_BYTES,
            WORD_BYTES,
        );
        Ok(())
    }

    async fn config_since(
        self: Rc<Self>,
        params: peer::ConfigSinceParams,
        mut results: peer::ConfigSinceResults,
    ) -> Result<(), Error> {
        let delta = self.handler.context().config_since(params.get()?.get_revision())?;
        results.get().set_delta(&delta);
        self.handler.context().count_received_request(
            ControlKind::Configuration,
            CONFIG_REQUEST_BYTES,
            delta.len(),
        );
        Ok(())
    }

    async fn tell_quarantine(
        self: Rc<Self>,
        params: peer::TellQuarantineParams,
        mut results: peer::TellQuarantineResults,
    ) -> Result<(), Error> {
        let params = params.get()?;
        let news = read_quarantine_news(params.get_news()?)?;
        let received_bytes = news.wire_bytes() + WORD_BYTES;
        let reply = self.handler.receive_quarantine(news, params.get_wants_all());
        write_quarantine_news(&reply, results.get().init_news());
        self.handler.context().count_received_request(
            ControlKind::Quarantine,
            received_bytes,
            reply.wire_bytes(),
        );
        Ok(())
    }

    async fn take_credit(
        self: Rc<Self>,
        params: peer::TakeCreditParams,
        mut results: peer::TakeCreditResults,
    ) -> Result<(), Error> {
        let params = params.get()?;
        let requester = NodeId(
            read_address(params.get_asker()?).map_err(|err| Error::failed(err.to_string()))?,
        );
        let team = TeamName::new(params.get_team()?.to_str()?);
        let demand = CreditDemand { wanted: params.get_wanted(), used: params.get_used() };
        let grant = self.handler.acquire_credit(requester, &team, demand);
        write_credit_grant(grant, results.get());
        self.handler.context().count_received_request(
            ControlKind::Quota,
            CREDIT_REQUEST_BYTES,
            CREDIT_RESPONSE_BYTES,
        );
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
        self.handler.context().count_received_request(
            ControlKind::Claim,
            CLAIM_REQUEST_BYTES,
            WORD_BYTES,
        );
        Ok(())
    }
}

/// Accepts connections of other nodes for as long as the process runs.
pub async fn accept_peers<H: PeerHandler + 'static>(listener: TcpListener, handler: Rc<H>) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => serve_peer(stream, handler.clone()),
            // Out of file descriptors: closing connections frees some, so retry after a pause.
            Err(_) => tokio::time::sleep(ACCEPT_PAUSE).await,
        }
    }
}

/// Pause after a failed accept.
const ACCEPT_PAUSE: std::time::Duration = std::time::Duration::from_millis(20);

fn serve_peer<H: PeerHandler + 'static>(stream: TcpStream, handler: Rc<H>) {
    // Without `TCP_NODELAY`, replies wait for the peer's delayed acknowledgement; a failure to set it only adds
    // latency.
    let _ = stream.set_nodelay(true);
    let (reader, writer) = link_stream(stream);
    tokio::task::spawn_local(serve_link(reader, writer, handler));
}

/// Serves a connection for calls, one for a single call with a large body, or one for other requests, depending on the first bytes that the peer sends.
async fn serve_link<H: PeerHandler + 'static>(
    mut reader: LinkReader,
    writer: LinkWriter,
    handler: Rc<H>,
) {
    let mut first = [0; FRAME_HEAD_BYTES];
    // The peer closed the connection before it sent a request.
    if reader.read_exact(&mut first).await.is_err() {
        return;
    }
    if first == CALLS_PREFACE {
        return serve_calls(reader, writer, handler).await;
    }
    if first == LARGE_CALL_PREFACE {
        return Box::pin(serve_large_call(reader, writer, handler)).await;
    }
    let reader = Cursor::new(first).chain(reader);
    let network = VatNetwork::new(reader, writer, Side::Server, Default::default());
    let server: peer::Client = capnp_rpc::new_client(PeerServer { handler });
    // The RPC system ends when the connection does, whatever the cause.
    let _ = RpcSystem::new(Box::new(network), Some(server.client)).await;
}
