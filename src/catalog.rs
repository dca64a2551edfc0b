//! The replicated table of upstreams.
//!
//! Where upstreams announce themselves to controls, what they say goes through the quorum's
//! log: an acknowledged drain is then known to a majority, whichever control took it and
//! whatever becomes of that one. Renewals that change nothing never reach the log.

mod action;
mod change;
mod delta;
mod table;

pub use action::Action;
pub use change::Change;
pub use delta::Delta;
pub use table::Catalog;
