//! Events of all processes, merged in causal order.
//!
//! Each process stamps its events with a hybrid logical [`Clock`] and writes them
//! as JSON lines through a [`Recorder`]. Messages between processes carry the
//! sender's [`Stamp`], which the receiver observes; so an effect always has a
//! higher stamp than its cause, although the VMs' clocks differ by seconds.

mod clock;
mod error;
mod event;
mod file_recorder;
mod journal;
mod kind;
mod recorder;
mod stamp;

pub use clock::Clock;
pub use error::Error;
pub use event::Event;
pub use file_recorder::FileRecorder;
pub use journal::Journal;
pub use kind::Kind;
pub use recorder::MemoryRecorder;
pub use recorder::Recorder;
pub use stamp::Stamp;
