//! Events of all processes, merged in causal order.
//!
//! Each process stamps its events with a hybrid logical [`Clock`] and passes them to a
//! [`Recorder`], which normally writes them to a file as JSON lines. Messages between processes
//! carry the sender's [`Stamp`], which the receiver observes. An effect therefore has a higher
//! stamp than its cause, even though the VMs' wall clocks differ by seconds.

mod calendar;
mod clock;
mod error;
mod event;
mod file_recorder;
mod filter;
mod journal;
mod kind;
mod merge;
mod note;
mod recorder;
mod report;
mod stamp;

pub use clock::Clock;
pub use error::Error;
pub use event::Event;
pub use file_recorder::FileRecorder;
pub use filter::Filter;
pub use journal::Journal;
pub use kind::Kind;
pub use merge::Merge;
pub use note::Note;
pub use recorder::MemoryRecorder;
pub use recorder::Recorder;
pub use report::Report;
pub use stamp::Stamp;
