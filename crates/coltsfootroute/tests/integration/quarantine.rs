//! Tests of the quarantine of requests that crash their upstreams: which requests are quarantined, which are not, and
//! how nodes converge.

mod fingerprint;
mod innocent_reads;
mod register;
mod report_queue;
mod spread;
