//! Interface to the platform's services, which each platform implements.

use std::future::Future;

use bytes::Bytes;
use coltsfootroute::table::{ObjectReply, StoreHealth, TableReply, TableRequest};

/// Sends requests to the platform's services, each once. Implementations decide neither what a reply means for the node
/// nor when and how often a request is sent again.
pub trait StorePort {
    /// Sends one request to the table service.
    fn table(&self, request: &TableRequest) -> impl Future<Output = StoreReply<TableReply>>;

    /// Stores an object.
    fn put_object(&self, name: &str, body: Bytes) -> impl Future<Output = StoreReply<ObjectReply>>;

    /// Reads an object.
    fn get_object(&self, name: &str) -> impl Future<Output = StoreReply<ObjectReply>>;
}

/// Outcome of one request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreReply<T> {
    /// The service's answer.
    Answer(T),
    /// The service's rate limit refused the request; it was not executed.
    RateLimited,
    /// The request was not sent, or was refused; it was not executed.
    Refused,
    /// There was no usable answer; the request may have been executed.
    Lost,
}

impl<T> StoreReply<T> {
    /// Returns the health of the service as shown by this reply.
    pub fn health(&self) -> StoreHealth {
        match self {
            Self::Answer(_) | Self::RateLimited => StoreHealth::Answering,
            Self::Refused | Self::Lost => StoreHealth::Failing,
        }
    }

    /// Converts a reply without an answer to another answer type. Callers handle `Answer` beforehand; here it becomes
    /// `Lost`.
    pub fn without_answer<U>(self) -> StoreReply<U> {
        match self {
            Self::RateLimited => StoreReply::RateLimited,
            Self::Refused => StoreReply::Refused,
            Self::Answer(_) | Self::Lost => StoreReply::Lost,
        }
    }
}
