//! Request handling on the traffic threads: accepts callers, routes and admits their requests,
//! and relays the answers of upstreams.

mod attempt;
mod attempts;
mod checks;
mod claims;
mod departure;
mod descriptors;
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

pub(crate) use checks::watch_paths;
pub(crate) use descriptors::sweep_connections;
pub(crate) use forward::Source;
pub(crate) use listener::InFlight;
pub(crate) use listener::listen;
pub(crate) use poison::watch_upstreams;
pub(crate) use proxy::Proxy;
pub(crate) use proxy::Setup;
pub(crate) use queue::poll_queues;
pub(crate) use rate_limiter::renew_quota;

/// Path at which every entry tells callers which entries to use.
pub(crate) const DIRECTORY_PATH: &str = "/.well-known/hemlockfield/entries";
