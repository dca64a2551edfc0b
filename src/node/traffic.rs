//! Request handling on the traffic threads: accepts callers, routes and admits their requests,
//! and relays the answers of upstreams.

mod attempt;
mod attempts;
mod checks;
mod claims;
mod dispatch;
mod forward;
mod hedge;
mod job;
mod listener;
mod poison;
mod proxy;
mod queue;
mod rate_limiter;
mod reach;
mod relay;
mod reservation;
mod round_trip;
mod serve;
mod service;

pub(super) use checks::watch_paths;
pub(super) use forward::Source;
pub(super) use listener::listen;
pub(super) use poison::watch_upstreams;
pub(super) use proxy::Proxy;
pub(super) use proxy::Setup;
pub(super) use queue::poll_queues;
pub(super) use rate_limiter::renew_quota;

/// Path at which every entry tells callers which entries to use.
pub const DIRECTORY_PATH: &str = "/.well-known/hemlockfield/entries";
