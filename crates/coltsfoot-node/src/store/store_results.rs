//! Conversion of replies to the results and error texts of metrics and events.

use coltsfootroute::table::TableReply;

use super::StoreReply;
use crate::metrics::StoreResult;

/// Returns the metric result of a request to the table service; `None` stands for a request that was not sent.
pub(super) fn store_result(reply: Option<&TableReply>) -> StoreResult {
    match reply {
        Some(TableReply::Rows(_) | TableReply::Committed) => StoreResult::Done,
        Some(TableReply::Conflict(_)) => StoreResult::Conflict,
        Some(TableReply::Unavailable) => StoreResult::Unavailable,
        Some(TableReply::Uncertain) => StoreResult::TimedOut,
        None => StoreResult::Limited,
    }
}

/// Returns the metric result of a request to the object store; `None` stands for a request that was not sent.
pub(super) fn object_result<T>(reply: Option<&StoreReply<T>>) -> StoreResult {
    match reply {
        Some(StoreReply::Answer(_)) => StoreResult::Done,
        Some(StoreReply::RateLimited | StoreReply::Refused) => StoreResult::Unavailable,
        Some(StoreReply::Lost) => StoreResult::TimedOut,
        None => StoreResult::Limited,
    }
}

/// Returns the error text for the event that reports that the store is down.
pub(super) fn failure_text<T>(reply: &StoreReply<T>) -> &'static str {
    match reply {
        StoreReply::Refused => "refused or not reachable",
        StoreReply::Lost => "no usable answer in time",
        StoreReply::RateLimited => "over its rate",
        StoreReply::Answer(_) => "answered",
    }
}
