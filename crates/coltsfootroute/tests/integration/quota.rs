//! Tests of the rate limits of teams over many nodes.

mod credit;
mod ledger;
mod owners;
mod world;
