//! Tests of `hemlockfield::claim`.
#![allow(clippy::unwrap_used)]

mod agent;
mod cluster;
mod killed;
mod ledger;
mod replicated;
