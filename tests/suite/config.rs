//! Tests of `hemlockfield::config`.
#![allow(clippy::unwrap_used)]

mod patch;
mod replicator;
mod simulation;
mod spread;
mod submissions;
