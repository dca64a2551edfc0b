//! Announced upstreams: leases, draining and warm-up.
//!
//! Load: 6,200 upstreams renew their leases every few seconds at 520 entries. If renewals were
//! replicated, each entry would receive 2,000 per second. So each upstream has one home entry
//! that tracks its lease, and only changes are gossiped.
//!
//! [`Registry::usable`] states when an entry may send work to an upstream.
//! `docs/design/registry.md` has the figures.

mod announcement;
mod change;
mod entry;
mod input;
mod life;
mod machine;
mod message;
mod output;
mod placement;
mod simulation;
mod upstream;

pub use announcement::Announcement;
pub use announcement::State;
pub use change::Change;
pub use change::StateChange;
pub use entry::Entry;
pub use input::Input;
pub use life::Life;
pub use machine::Registry;
pub use message::Message;
pub use output::Output;
pub use output::Refusal;
pub use simulation::Simulation;
pub use upstream::Upstream;
