//! Tests of separately started processes on loopback.

mod fleet;
mod kill;
mod path;
mod record;
