//! The data folder: checksummed records, synced before anything depends on them.
//!
//! One [`Log`] keeps the records of one quorum replica. It works over a [`Disk`]:
//! [`Folder`] is the real one, [`crate::fake::Disk`] forgets what was not synced.
//! `docs/design/storage.md` gives the layout and the repair procedure.

mod disk;
mod error;
mod folder;
mod frame;
mod log;

pub use disk::Disk;
pub use error::Error;
pub use folder::Folder;
pub use log::Log;
