//! What operators and upstreams ask a process over HTTP: status, configurations, announcements, metrics.

mod metrics;
mod orders;
mod server;

pub(crate) use metrics::serve as serve_metrics;
pub(crate) use orders::serve as serve_orders;
pub(crate) use server::State;
pub(crate) use server::app;
