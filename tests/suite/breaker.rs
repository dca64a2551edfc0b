//! Breakers of a service's upstreams, on what callers received.

mod circuit;
mod panel;
