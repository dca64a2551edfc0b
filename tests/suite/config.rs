//! Tests of `hemlockfield::config`.
#![allow(clippy::unwrap_used)]

mod patch;
mod replicator;
mod site;
mod spread;
mod submissions;
