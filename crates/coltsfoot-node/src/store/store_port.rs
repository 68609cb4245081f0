//! The way to the platform's services, as far as it differs from platform to platform.

use std::future::Future;

use bytes::Bytes;
use coltsfootroute::table::{ObjectReply, StoreHealth, TableReply, TableRequest};

/// Sends requests to the platform's services, each once. What a reply means for the node, when to send again
/// and how often is not decided here.
pub trait StorePort {
    /// Sends one request to the table service.
    fn table(&self, request: &TableRequest) -> impl Future<Output = StoreReply<TableReply>>;

    /// Stores an object.
    fn put_object(&self, name: &str, body: Bytes) -> impl Future<Output = StoreReply<ObjectReply>>;

    /// Reads an object.
    fn get_object(&self, name: &str) -> impl Future<Output = StoreReply<ObjectReply>>;
}

/// What came of one request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreReply<T> {
    /// The service's answer.
    Answer(T),
    /// Refused by the service's rate limit; not carried out.
    RateLimited,
    /// Not sent, or refused; not carried out.
    Refused,
    /// No usable answer: it may have been carried out.
    Lost,
}

impl<T> StoreReply<T> {
    /// What the reply says of the service.
    pub fn health(&self) -> StoreHealth {
        match self {
            Self::Answer(_) | Self::RateLimited => StoreHealth::Answering,
            Self::Refused | Self::Lost => StoreHealth::Failing,
        }
    }

    /// The same outcome for another kind of answer; an answer, which callers take out before, is lost.
    pub fn without_answer<U>(self) -> StoreReply<U> {
        match self {
            Self::RateLimited => StoreReply::RateLimited,
            Self::Refused => StoreReply::Refused,
            Self::Answer(_) | Self::Lost => StoreReply::Lost,
        }
    }
}
