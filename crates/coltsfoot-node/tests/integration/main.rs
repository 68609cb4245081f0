//! Integration tests of the node.

mod args;
mod clock;
mod config_duty;
mod doubled_answers;
mod events;
mod introduction;
mod journal;
mod limits;
mod links;
mod metrics;
mod odd_statuses;
mod outgoing;
mod pipeline;
mod reload;
mod scenarios;
mod settings;
mod status;
mod store;
mod store_claims;
mod store_era;
mod timely_hints;
mod unsent_answers;
mod upstream_limit;
mod util;
