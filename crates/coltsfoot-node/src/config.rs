//! The configuration duty: handles submissions, keeps the revision in force and distributes it.

mod accepted_config;
mod config_cell;
mod config_command;
mod config_error;
mod config_handle;
mod config_in_force;
mod config_origin;
mod config_pulls;
mod config_replies;
mod config_thread;
mod freshness_cell;
mod revision_tracker;
mod submission_handler;
mod submit_request;

pub use accepted_config::AcceptedConfig;
pub use config_cell::ConfigCell;
pub use config_command::ConfigCommand;
pub use config_error::SubmitHeaderError;
pub use config_handle::ConfigHandle;
pub use config_in_force::ConfigInForce;
pub use config_origin::ConfigOrigin;
pub use config_thread::{ConfigParts, ConfigThread};
pub use freshness_cell::{FreshnessCell, max_proof_age};
pub use submit_request::SubmitRequest;
