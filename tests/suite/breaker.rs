//! Breakers of a service's upstreams, on what callers received.

mod circuit;
mod error_history;
mod group;
mod local_fault;
mod once;
mod outage_history;
