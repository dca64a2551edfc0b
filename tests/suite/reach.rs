//! Entries that lose their way to the upstreams, while callers and controls still reach them.

mod cut;
pub(crate) mod fleet;
mod monitor;
pub(crate) mod network;
mod peers;
