//! HTTP front of the stand-in.

use std::{
    io,
    net::TcpListener,
    sync::{Arc, mpsc},
    thread,
};

use bytes::Bytes;
use coltsfootroute::table::TableRequest;
use http::{Method, StatusCode};
use xitca_web::{
    App, WebContext,
    body::ResponseBody,
    error::Error,
    handler::{FromRequest, body::Limit, handler_service},
    http::WebResponse,
};

use super::{
    FaultCommand, TableHandle, TableSettings,
    table_handle::StopMode,
    table_service::{ServiceError, TableService},
};

/// Largest request body, in bytes.
const MAX_BODY_BYTES: usize = 4 << 20;
const OBJECT_PREFIX: &str = "/object/";

type SharedService = Arc<TableService>;

/// The stand-in as a server.
#[derive(Debug)]
pub struct TableServer;

impl TableServer {
    /// Starts the stand-in in threads of its own.
    pub fn start(settings: &TableSettings) -> io::Result<TableHandle> {
        let service = Arc::new(TableService::new(settings));
        let listener = TcpListener::bind(settings.address)?;
        let address = listener.local_addr()?;
        let state = Arc::clone(&service);
        let mut server = App::new()
            .with_state(state)
            .at("/{*path}", handler_service(serve))
            .serve()
            .worker_threads(1)
            .disable_signal()
            .listen(listener)?
            .run();
        let server_handle = server.handle()?;
        let (stop, stopped) = mpsc::channel();
        let server_thread = thread::Builder::new().name("table".to_owned()).spawn(move || {
            let waiter = thread::spawn(move || {
                let mode = stopped.recv().unwrap_or(StopMode::AtOnce);
                server_handle.stop(mode == StopMode::Graceful);
            });
            if let Err(error) = server.wait() {
                log::error!("event=table-server-failed error=\"{error}\"");
            }
            let _ = waiter.join();
        })?;
        Ok(TableHandle::new(address, service, stop, server_thread))
    }
}

async fn serve(ctx: &WebContext<'_, SharedService>) -> Result<WebResponse, Error> {
    let method = ctx.req().method().clone();
    let path = ctx.req().uri().path().to_owned();
    let (body, _) = <(Bytes, Limit<MAX_BODY_BYTES>)>::from_request(ctx).await?;
    let answer = route(ctx.state(), &method, &path, body).await;
    let (status, body) = match answer {
        Ok(body) => (StatusCode::OK, body),
        Err(status) => (status, Bytes::new()),
    };
    let mut response = WebResponse::new(ResponseBody::bytes(body));
    *response.status_mut() = status;
    Ok(response)
}

async fn route(
    service: &TableService,
    method: &Method,
    path: &str,
    body: Bytes,
) -> Result<Bytes, StatusCode> {
    if let Some(name) = path.strip_prefix(OBJECT_PREFIX) {
        return object(service, method, name, body).await;
    }
    match (method.as_str(), path) {
        ("POST", "/table") => {
            let request: TableRequest = parse(&body)?;
            let reply = service.table(&request).await.map_err(status_of)?;
            to_json(&reply)
        }
        ("POST", "/fault") => {
            let command: FaultCommand = parse(&body)?;
            service.fault(&command);
            Ok(Bytes::new())
        }
        ("GET", "/counts") => to_json(&service.counts()),
        _ => Err(StatusCode::NOT_FOUND),
    }
}

async fn object(
    service: &TableService,
    method: &Method,
    name: &str,
    body: Bytes,
) -> Result<Bytes, StatusCode> {
    match method.as_str() {
        "PUT" => {
            service.put_object(name, body).await.map_err(status_of)?;
            Ok(Bytes::new())
        }
        "GET" => {
            let found = service.get_object(name).await.map_err(status_of)?;
            found.ok_or(StatusCode::NOT_FOUND)
        }
        "DELETE" => {
            service.delete_object(name).await.map_err(status_of)?;
            Ok(Bytes::new())
        }
        _ => Err(StatusCode::METHOD_NOT_ALLOWED),
    }
}

fn status_of(error: ServiceError) -> StatusCode {
    match error {
        ServiceError::Down => StatusCode::SERVICE_UNAVAILABLE,
        ServiceError::RateLimited => StatusCode::TOO_MANY_REQUESTS,
        ServiceError::AnswerLost => StatusCode::GATEWAY_TIMEOUT,
    }
}

fn parse<T: serde::de::DeserializeOwned>(body: &[u8]) -> Result<T, StatusCode> {
    serde_json::from_slice(body).map_err(|_| StatusCode::BAD_REQUEST)
}

fn to_json<T: serde::Serialize>(value: &T) -> Result<Bytes, StatusCode> {
    serde_json::to_vec(value).map(Bytes::from).map_err(|_| StatusCode::INTERNAL_SERVER_ERROR)
}
