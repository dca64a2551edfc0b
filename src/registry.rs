//! Announced upstreams: lease, drain and cold start.
//!
//! Load pattern: 6,200 upstreams renew their leases every few seconds at 520 entries.
//! Were each renewal told to each entry, an entry would receive 2,000 a second; so
//! each upstream has a home entry that keeps its lease, and only changes spread.
//!
//! What an entry may then believe of an upstream, and for how long, is told in
//! [`Registry::usable`]; `docs/design/registry.md` has the figures.

mod announcement;
mod change;
mod entry;
mod homes;
mod input;
mod machine;
mod message;
mod output;
mod trial;
mod upstream;

pub use announcement::Announcement;
pub use announcement::State;
pub use change::Change;
pub use change::Standing;
pub use entry::Entry;
pub use input::Input;
pub use machine::Registry;
pub use message::Message;
pub use output::Output;
pub use output::Refusal;
pub use trial::Trial;
pub use upstream::Upstream;
