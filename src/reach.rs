//! Whether an entry reaches the upstreams, and which other entry serves its callers if it does not.
//!
//! **Load pattern.** An entry loses its path to all upstreams, or to those of one service, while
//! callers, controls and other entries still reach it. Connections hang or are reset, or those
//! that are open live on while no new one opens.
//!
//! **Without it.** The entry is healthy by its own report, so callers are told of it for as long as
//! the fault lasts. Each of their requests tries several upstreams in vain. What the entry reports
//! of them takes sound upstreams from the other entries.
//!
//! **How.** A [`Monitor`] judges the path to each service by the connections that the entry opens.
//! Upstreams that can't be reached are at fault only if a connection to another one opened
//! meanwhile; until then failures are held back. Where none opens, at those that were reached last
//! neither, the path is lost: the entry passes requests on to a peer ([`Peers`]), reports it, so that
//! controls advertise other entries, and opens connections without a request until two open, of one
//! upstream or of two, so that one upstream that is left is enough. Controls believe it only if another
//! entry reaches the service; if all of them say the same, the upstreams are at fault.

mod monitor;
mod path;
mod peers;
mod status;
mod upstreams;
mod verdict;

pub use monitor::Check;
pub use monitor::Monitor;
pub use peers::Peer;
pub use peers::Peers;
pub use status::Status;
pub use upstreams::Upstreams;
pub use verdict::Verdict;
