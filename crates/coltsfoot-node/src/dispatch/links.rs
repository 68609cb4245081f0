//! Connections to other nodes, and how nodes find one another.

mod call_frame;
mod call_link;
mod call_service;
mod case_store;
mod config_pull;
mod credit_owner;
mod introduced_upstream;
mod introduction_service;
mod introduction_store;
mod link_stream;
mod link_table;
mod node_finder;
mod own_rows;
mod peer_handler;
mod peer_links;
mod peer_server;
mod quarantine_service;
mod row_renewal;
mod upstream_announcement;
mod upstream_row;
mod upstream_row_writer;

pub use call_link::CallLink;
pub use call_service::serve_calls;
pub use config_pull::pull_config;
pub use credit_owner::{CreditDemand, CreditOwner};
pub use introduced_upstream::IntroducedUpstream;
pub use introduction_service::IntroductionService;
pub use introduction_store::IntroductionStore;
pub use link_stream::{LinkReader, LinkWriter, link_stream};
pub use node_finder::{FinderOptions, discover_nodes};
pub use peer_handler::{CallHandler, PeerHandler, TokenReply};
pub use peer_links::{LinkError, PeerLink, PeerLinks};
pub use peer_server::accept_peers;
pub use quarantine_service::{HeldCall, QuarantineService, ReleaseResult};
pub use upstream_announcement::UpstreamAnnouncement;
pub use upstream_row::{UpstreamRow, UpstreamState};
