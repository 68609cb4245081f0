//! Requests to the platform's transactional table service, and the policies in front of it.
//!
//! State machines emit [`TableRequest`]s and receive [`TableReply`]s; the embedding process exchanges them with the
//! service. Keys are plain text. A row's version increases with every write of that row.

mod circuit_breaker;
mod memory_table;
mod object_reply;
mod rate_budget;
mod row_condition;
mod row_key;
mod row_version;
mod row_write;
mod store_backoff;
mod store_era;
mod store_health;
mod store_use;
mod stored_row;
mod table_reply;
mod table_request;
mod token_bucket;

pub use circuit_breaker::{BreakerSettings, BreakerState, CircuitBreaker};
pub use memory_table::MemoryTable;
pub use object_reply::ObjectReply;
pub use rate_budget::{RateBudget, RateShare};
pub use row_condition::RowCondition;
pub use row_key::RowKey;
pub use row_version::RowVersion;
pub use row_write::RowWrite;
pub use store_backoff::StoreBackoff;
pub use store_era::StoreEra;
pub use store_health::StoreHealth;
pub use store_use::StoreUse;
pub use stored_row::StoredRow;
pub use table_reply::TableReply;
pub use table_request::TableRequest;
pub use token_bucket::TokenBucket;
