//! Tests of `hemlockfield::breaker`.

mod circuit;
mod error_history;
mod group;
mod local_fault;
mod non_idempotent;
mod outage_history;
