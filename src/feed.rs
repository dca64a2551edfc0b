//! Distribution of the configuration, upstreams and their health from controls to entries.
//!
//! An entry polls one control twice a second for changes since the log index and the
//! configuration that it knows. Controls also push committed changes at once. The index in the
//! entry's own poll decides what is new, so a change that a control forgets or the network loses
//! is late by at most one poll. Large changes of the configuration travel in parts, see
//! [`transfer`].
//! A control that has lost the leader says so, and the entry polls another one.

mod answer_timer;
mod capacity;
mod control;
mod doubt;
mod entry;
mod failover;
mod input;
mod message;
mod poll;
mod position;
mod publisher;
mod rate;
mod report;
mod reports;
mod roster;
mod selection;
mod subscriber;
mod subscription;
mod table_load;
mod tallies;
pub mod transfer;
mod update;

pub use capacity::Capacity;
pub use capacity::Load;
pub use control::Control;
pub use entry::Entry;
pub use input::Input;
pub use input::Output;
pub use message::Message;
pub use poll::Poll;
pub use publisher::Publisher;
pub use publisher::Snapshot;
pub use publisher::WARM_UP;
pub use rate::Rate;
pub use report::Report;
pub use roster::Roster;
pub use selection::Selection;
pub use subscriber::Subscriber;
pub use tallies::Tallies;
pub use update::Update;
