//! Membership between our processes: failure detection, dissemination and anti-entropy.
//!
//! Load pattern: up to 520 processes, of which 33 fail and 810 restart on a day, a
//! failure domain is lost at once, and regions lose each other for an hour. With
//! all-to-all heartbeats each process would spend more on them than its whole
//! allowance; see `docs/design/fleet.md` for the figures.
//!
//! [`Member`] probes only its successors on a few hashed rings, so that each process
//! needs few long-lived links and is watched by a fixed number of observers. News
//! floods along the same links within a byte [`Allowance`], and [`Digest`]s repair
//! what was lost.

mod allowance;
mod digest;
mod input;
mod member;
mod message;
mod output;
mod probe;
mod record;
mod repair;
mod rings;
mod roster;
mod rumour;
mod spread;
mod trial;

pub use allowance::Allowance;
pub use digest::Digest;
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
pub use rumour::Rumour;
pub use spread::Spread;
pub use trial::Trial;
