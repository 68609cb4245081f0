//! The configuration duty: submissions, the revision in force, its spread.

mod accepted_config;
mod config_book;
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
mod submit_desk;
mod submit_request;

pub use accepted_config::AcceptedConfig;
pub use config_cell::ConfigCell;
pub use config_command::ConfigCommand;
pub use config_error::SubmitHeaderError;
pub use config_handle::ConfigHandle;
pub use config_in_force::ConfigInForce;
pub use config_origin::ConfigOrigin;
pub use config_thread::{ConfigParts, ConfigThread};
pub use freshness_cell::{FreshnessCell, proof_time};
pub use submit_request::SubmitRequest;
