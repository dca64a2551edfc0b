//! Gossip membership of the processes: failure detection, dissemination and anti-entropy.
//!
//! Load: up to 520 processes, of which 33 fail and 810 restart per day. A whole failure domain
//! may fail, and regions may be partitioned for an hour. All-to-all heartbeats would cost each
//! process more than its whole allowance. `docs/design/fleet.md` has the figures.
//!
//! [`Member`] probes only its successors on a few hashed rings, so that each process needs few
//! long-lived links and has a fixed number of observers. Updates are flooded along the same links
//! within a byte [`Allowance`], and [`Digest`]s repair losses.

mod allowance;
mod digest;
mod dissemination;
mod input;
mod member;
mod member_table;
mod message;
mod output;
mod probe;
mod record;
mod repair;
mod rings;
mod simulation;
mod status_update;

pub use allowance::Allowance;
pub use digest::Digest;
pub use dissemination::Dissemination;
pub use input::Input;
pub use member::Member;
pub use message::Message;
pub use output::Output;
pub use record::Meta;
pub use record::Record;
pub use record::Role;
pub use record::Seed;
pub use record::State;
pub use record::Status;
pub use repair::Repair;
pub use simulation::Simulation;
pub use status_update::StatusUpdate;
