//! Admission: scenarios, fuzz against an oracle, limits, shed levels.

mod fuzz;
mod gate;
mod gone_service;
mod levels;
mod limits;
mod reached;
mod scenarios;
mod shed_loop;
