//! Entries that lose their way to the upstreams, while callers and controls still reach them.

mod cut;
mod fleet;
mod monitor;
mod network;
mod peers;
