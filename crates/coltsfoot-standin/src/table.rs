//! Stand-in for the platform's transactional table service, with faults on command.
//!
//! `POST /table` carries out a `TableRequest`; `/object/{name}` is the object store, under the same
//! faults; `POST /fault` takes a [`FaultCommand`]; `GET /counts` gives the [`TableCounts`].

mod fault_command;
mod fault_state;
mod table_counts;
mod table_handle;
mod table_server;
mod table_service;
mod table_settings;

pub use fault_command::{FaultCommand, FaultMode};
pub use table_counts::TableCounts;
pub use table_handle::TableHandle;
pub use table_server::TableServer;
pub use table_settings::TableSettings;
