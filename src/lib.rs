//! Proxy fleet that tolerates gray failures of upstreams.
//!
//! Modules that make decisions are state machines without sockets, clocks, threads or randomness of
//! their own. [`node`] connects their inputs and outputs.
#![warn(clippy::unwrap_used)]

pub mod admission;
pub mod balance;
pub mod bench;
pub mod boundary;
pub mod breaker;
pub mod catalog;
pub mod claim;
pub mod cli;
pub mod clock;
pub mod config;
pub mod controller;
pub mod demo;
pub mod directory;
pub mod exchange;
pub mod fake;
pub mod feed;
pub mod fleet;
pub mod health;
pub mod id;
pub mod keys;
pub mod link;
pub mod load;
pub mod metrics;
pub mod model;
pub mod node;
mod operator;
#[path = "../platform/mod.rs"]
pub mod platform;
pub mod poison;
pub mod quorum;
pub mod quota;
pub mod reach;
pub mod registry;
pub mod replay;
pub mod retry;
pub mod role;
pub mod routing;
pub mod rule;
pub mod runtime;
pub mod settings;
pub mod storage;
pub mod team;
pub mod timeline;
mod traffic;
pub mod upstream;
pub mod wire;
