//! Entries that lose their way to the upstreams, while callers and controls still reach them.

mod cut;
mod entry;
pub(crate) mod fleet;
mod gone;
mod monitor;
pub(crate) mod network;
mod peers;
