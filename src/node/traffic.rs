//! Request handling on the traffic threads: accepts callers, routes and admits their requests,
//! and relays the answers of upstreams.

mod attempt;
mod attempts;
mod claims;
mod dispatch;
mod hedge;
mod job;
mod listener;
mod queue;
mod rate_limiter;
mod relay;
mod reservation;
mod round_trip;
mod serve;
mod service;
mod shared;

pub(super) use listener::listen;
pub(super) use queue::poll_queues;
pub(super) use rate_limiter::renew_quota;
pub(super) use shared::Observation;
pub(super) use shared::Shared;
pub(super) use shared::Trial;

/// Path at which every entry tells callers which entries to use.
pub const DIRECTORY_PATH: &str = "/.well-known/hemlockfield/entries";
