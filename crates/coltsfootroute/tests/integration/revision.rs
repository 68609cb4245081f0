//! Revisions: submission, history and spread under loss, reorder, duplication and restart.

mod fake_table;
mod fuzz;
mod head;
mod history;
mod pull_plan;
mod scenarios;
mod state;
mod teams;
mod world;
