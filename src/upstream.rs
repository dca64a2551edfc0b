//! Stand-in for an upstream, gray on demand.
