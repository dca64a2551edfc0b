//! A fleet in virtual time: the decisions of entries and controls as the processes make them, over
//! links with bandwidth, between callers and upstreams drawn from a seed.
//!
//! Two promises are judged from what callers, upstreams and operators see: sound upstreams get
//! requests in any two seconds, and an acknowledged configuration is in force in time. Each run has a
//! margin, so that a near miss shows. `cargo test --release fleet_model -- --ignored --nocapture` runs
//! many seeds and prints the least margin of each plan.

mod callers;
mod judge;
mod link;
mod plan;
pub(crate) mod process;
mod promise;
mod upstream;
mod world;
