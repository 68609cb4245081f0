//! Collection of events from nodes and files.

mod client_error;
mod event_collector;
mod event_file;
mod node_client;
mod node_cursor;

pub use client_error::ClientError;
pub use event_collector::{CollectedRound, EventCollector};
pub use event_file::{EventFileError, read_events};
pub use node_client::NodeClient;
pub use node_cursor::NodeCursor;
