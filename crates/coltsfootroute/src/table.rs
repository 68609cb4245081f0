//! The platform's transactional table service, as the library's state machines see it.
//!
//! State machines emit [`TableRequest`]s and take [`TableReply`]s; the embedding process carries them
//! to the service. Keys are flat text; a row's version rises with every write of that row.

mod row_condition;
mod row_key;
mod row_version;
mod row_write;
mod stored_row;
mod table_reply;
mod table_request;

pub use row_condition::RowCondition;
pub use row_key::RowKey;
pub use row_version::RowVersion;
pub use row_write::RowWrite;
pub use stored_row::StoredRow;
pub use table_reply::TableReply;
pub use table_request::TableRequest;
