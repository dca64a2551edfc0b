//! Detection and ejection of gray upstreams, never below the floor.
