//! Why a request has no answer.

use std::io;

/// Why a request has no answer.
#[derive(Debug, thiserror::Error)]
pub enum HttpError {
    /// The request's URI names no address and port.
    #[error("the URI names no address and port")]
    Address,
    /// No connection came about: nothing was sent.
    #[error("cannot connect")]
    Connect(#[source] io::Error),
    /// The connection ended before the request was written to it.
    #[error("the connection ended before the request was sent")]
    Unsent(#[source] hyper::Error),
    /// The connection ended, or an answer that is no whole one came.
    #[error("no whole answer came")]
    Broken(#[source] hyper::Error),
}

impl HttpError {
    /// Whether no connection came about.
    pub fn is_connect(&self) -> bool {
        matches!(self, Self::Connect(_))
    }

    /// Tells apart what was not sent: `hyper` cancels only what it has not begun to write.
    pub(super) fn from_sending(error: hyper::Error) -> Self {
        if error.is_canceled() || error.is_closed() {
            Self::Unsent(error)
        } else {
            Self::Broken(error)
        }
    }
}
