//! Client of the platform's table service and object store, which runs in its own thread.
//!
//! The library's state machines, not this module, decide what a reply means. A write without an answer is reported as
//! `Uncertain`, and this module never sends it again.

mod era_cell;
mod era_watch;
mod http_client;
mod http_sender;
mod store_command;
mod store_error;
mod store_handle;
mod store_port;
mod store_results;
mod store_settings;
mod store_thread;
mod store_worker;

pub use era_cell::EraCell;
pub use era_watch::{EraWatch, StoreReturn};
pub use http_client::HttpClient;
pub use http_sender::HttpSender;
pub use store_error::StoreError;
pub use store_handle::StoreHandle;
pub use store_port::{StorePort, StoreReply};
pub use store_settings::StoreSettings;
pub use store_thread::StoreThread;
