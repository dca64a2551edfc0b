//! Breakers of a service's upstreams, on what callers received.

mod blame;
mod circuit;
mod error_history;
mod group;
mod once;
mod outage_history;
