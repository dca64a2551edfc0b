//! Replicated table of upstreams.
//!
//! Where upstreams announce themselves to controls, all events about them go through the quorum log,
//! which is their one order. What is acknowledged is then known to a majority, even if the control
//! that received it fails or is cut off. Only renewals that change nothing are answered without the
//! log: if the table that they are answered from is old, the next one puts that right.

mod action;
mod batcher;
mod change;
mod delta;
mod departure;
mod order;
mod outcome;
mod returns;
mod sizes;
mod table;

pub use action::Action;
pub use batcher::Batcher;
pub use change::Change;
pub use delta::Delta;
pub use departure::Departure;
pub use outcome::Outcome;
pub use returns::Returns;
pub use sizes::Sizes;
pub use table::Catalog;
