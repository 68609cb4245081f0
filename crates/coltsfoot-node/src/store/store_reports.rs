//! Replies as results in the metrics.

use coltsfootroute::table::TableReply;

use super::http_client::HttpReply;
use crate::metrics::StoreResult;

/// Result of a request to the table service; `None`: it was not sent.
pub(super) fn store_result(reply: Option<&TableReply>) -> StoreResult {
    match reply {
        Some(TableReply::Rows(_) | TableReply::Committed) => StoreResult::Done,
        Some(TableReply::Conflict(_)) => StoreResult::Conflict,
        Some(TableReply::Unavailable) => StoreResult::Unavailable,
        Some(TableReply::Uncertain) => StoreResult::TimedOut,
        None => StoreResult::Limited,
    }
}

/// Result of a request to the object store; `None`: it was not sent.
pub(super) fn object_result<T>(reply: Option<&HttpReply<T>>) -> StoreResult {
    match reply {
        Some(HttpReply::Answer(_)) => StoreResult::Done,
        Some(HttpReply::RateLimited | HttpReply::Refused) => StoreResult::Unavailable,
        Some(HttpReply::Lost) => StoreResult::TimedOut,
        None => StoreResult::Limited,
    }
}

/// What went wrong, in the event that says that the store is down.
pub(super) fn failure_text<T>(reply: &HttpReply<T>) -> &'static str {
    match reply {
        HttpReply::Refused => "refused or not reachable",
        HttpReply::Lost => "no usable answer in time",
        HttpReply::RateLimited => "over its rate",
        HttpReply::Answer(_) => "answered",
    }
}
