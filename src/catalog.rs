//! Replicated table of upstreams.
//!
//! Where upstreams announce themselves to controls, announcements go through the quorum log.
//! An acknowledged drain is then known to a majority, even if the control that received it
//! fails. Renewals that change nothing are not written to the log.

mod action;
mod batcher;
mod change;
mod delta;
mod order;
mod sizes;
mod table;

pub use action::Action;
pub use batcher::Batcher;
pub use change::Change;
pub use delta::Delta;
pub use sizes::Sizes;
pub use table::Catalog;
