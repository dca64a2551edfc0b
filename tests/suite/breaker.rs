//! Breakers of a service's upstreams, on what callers received.

mod blame;
mod circuit;
mod errors;
mod group;
mod once;
mod outage_history;
