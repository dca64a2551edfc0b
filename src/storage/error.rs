//! Errors of a data folder.

use std::io;
use std::path::PathBuf;

use thiserror::Error;

/// Error of a data folder; its text says what to do about it.
#[derive(Debug, Error)]
pub enum Error {
    /// The log is closed after an earlier error.
    #[error("the log `{file}` is closed after an earlier error; open the data folder again")]
    Closed {
        /// File of the log.
        file: String,
    },
    /// A record that was synced is damaged.
    #[error(
        "`{file}` is damaged at byte {offset}, before records that were written later; \
         don't cut it: move the data folder away, start with an empty one, \
         and replace this member"
    )]
    Damaged {
        /// Damaged file.
        file: String,
        /// Offset at which the damage starts.
        offset: u64,
    },
    /// The file system failed.
    #[error("can't use `{file}`: {source}")]
    Disk {
        /// File that was used.
        file: String,
        /// Error of the file system.
        source: io::Error,
    },
    /// No space is left on the disk.
    #[error(
        "no space is left to write `{file}`; nothing of it counts: \
         free some space and start again"
    )]
    Full {
        /// File that was written.
        file: String,
    },
    /// Another process has the data folder open.
    #[error("another process uses the data folder `{}`; stop it first", folder.display())]
    Locked {
        /// Path of the folder.
        folder: PathBuf,
    },
    /// A required file is missing.
    #[error(
        "`{file}` is missing from the data folder; move the folder away, \
         start with an empty one, and replace this member"
    )]
    Missing {
        /// Missing file.
        file: String,
    },
    /// A record has a valid checksum, but can't be decoded.
    #[error("`{file}` holds a record of another version at byte {offset}; start that version")]
    Unreadable {
        /// File with the record.
        file: String,
        /// Offset at which the record starts.
        offset: u64,
    },
}

impl Error {
    /// Converts an error of the file system on `file`.
    pub(super) fn from_io(file: &str, source: io::Error) -> Self {
        let file = file.to_owned();
        match source.kind() {
            io::ErrorKind::StorageFull | io::ErrorKind::QuotaExceeded => Self::Full { file },
            _ => Self::Disk { file, source },
        }
    }
}
