//! Announced upstreams: lease, drain and cold start.
