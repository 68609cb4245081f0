//! Discovery of upstreams by gossip.
//!
//! A node probes the members of its own upstream's service (SWIM: ping, indirect ping, suspicion) and
//! *watches* the services that it calls: it pulls the records that differ from one of their members.
//! The [`GossipEngine`] makes the decisions; the embedding process sends the datagrams.

mod bandwidth_budget;
mod gossip_counters;
mod gossip_effect;
mod gossip_engine;
mod gossip_kind;
mod gossip_message;
mod gossip_payload;
mod gossip_settings;
mod group_view;
mod heartbeat_watch;
mod instance_incarnation;
mod instance_tracker;
mod introduction_row;
mod introduction_scan;
mod member_record;
mod member_state;
mod member_update;
mod membership_status;
mod puller_table;
mod resume_window;
mod seed_table;
mod send_priority;
mod update_queue;
mod upstream_offer;

pub use bandwidth_budget::BandwidthBudget;
pub use gossip_counters::GossipCounters;
pub use gossip_effect::GossipEffect;
pub use gossip_engine::GossipEngine;
pub use gossip_kind::GossipKind;
pub use gossip_message::{DATAGRAM_OVERHEAD_BYTES, GossipMessage, MAX_DATAGRAM_BYTES};
pub use gossip_payload::GossipPayload;
pub use gossip_settings::GossipSettings;
pub use group_view::{GroupView, MAX_BUCKETS, MergeOutcome};
pub use heartbeat_watch::HeartbeatWatch;
pub use instance_incarnation::{InstanceIncarnation, InstanceName, StartTime};
pub use instance_tracker::{HeartbeatVerdict, InstanceTracker};
pub use introduction_row::{IntroducedNode, IntroductionRow};
pub use introduction_scan::IntroductionScan;
pub use member_record::MemberRecord;
pub use member_state::MemberState;
pub use member_update::MemberUpdate;
pub use membership_status::MembershipStatus;
pub use puller_table::PullerTable;
pub use resume_window::ResumeWindow;
pub use seed_table::SeedTable;
pub use send_priority::SendPriority;
pub use update_queue::UpdateQueue;
pub use upstream_offer::UpstreamOffer;
