//! Requests that end their upstreams: who is held back, who is not, and how nodes come to agree.

mod fingerprint;
mod innocent_reads;
mod register;
mod spread;
