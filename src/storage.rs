//! Data folder: checksummed records that are synced before anything depends on them.
//!
//! A [`Log`] stores the records of one quorum replica on a [`Disk`]. [`Folder`] is the
//! real file system; [`crate::fake::Disk`] simulates the loss of unsynced data.
//! `docs/design/storage.md` describes the layout and the repair procedure.

mod disk;
mod error;
mod folder;
mod frame;
mod log;
mod rewrite;
mod scan;

pub use disk::Disk;
pub use error::Error;
pub use folder::Folder;
pub use log::Log;
