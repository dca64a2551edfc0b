//! What controls tell entries: configuration, upstreams, evidence on them.
//!
//! An entry asks one control twice a second for what changed since the index of the log
//! that it knows; a control also tells at once what was committed. The entry's own count
//! decides what is new, so that nothing that a control forgets or a network loses is missed
//! for longer than one round. A control that has lost the leader says so, and the entry asks
//! another.

mod control;
mod entry;
mod input;
mod message;
mod news;
mod poll;
mod publisher;
mod rate;
mod ready;
mod room;
mod subscriber;
mod tallies;

pub use control::Control;
pub use entry::Entry;
pub use input::Input;
pub use input::Output;
pub use message::Message;
pub use news::News;
pub use poll::Poll;
pub use publisher::Ledger;
pub use publisher::Publisher;
pub use publisher::WARM_UP;
pub use rate::Rate;
pub use ready::Ready;
pub use room::Load;
pub use room::Room;
pub use subscriber::Subscriber;
pub use tallies::Tallies;
