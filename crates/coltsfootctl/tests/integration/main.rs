//! Tests of the command line, one file for each subject.

mod commands;
mod fake_node;
