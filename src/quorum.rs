//! Replicated, durable log behind configuration and claims.
