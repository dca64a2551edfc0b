//! Compares what callers send with what upstreams run, over framing, size, pace and faults.
//!
//! Real processes stand between raw sockets. Each run is drawn from a seed; the order in which
//! sockets and processes act is not, so a seed gives the same plan and not the same run.

mod caller;
mod check;
mod message;
mod run;
mod server;
mod stage;
mod world;
