//! Tests of the measurements' own arithmetic.

mod mesh;
mod report;
