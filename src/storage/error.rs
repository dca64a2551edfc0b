//! What goes wrong with a data folder, and what to do about it.

use std::io;
use std::path::PathBuf;

use thiserror::Error;

/// What goes wrong with a data folder, and what to do about it.
#[derive(Debug, Error)]
pub enum Error {
    /// The log refused a call after an earlier error.
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
        /// Where the damage starts.
        offset: u64,
    },
    /// The file system refused.
    #[error("can't use `{file}`: {source}")]
    Disk {
        /// File in question.
        file: String,
        /// What the file system said.
        source: io::Error,
    },
    /// No space is left.
    #[error(
        "no space is left to write `{file}`; nothing of it counts: \
         free some space and start again"
    )]
    Full {
        /// File that was to grow.
        file: String,
    },
    /// Another process has the folder open.
    #[error("another process uses the data folder `{}`; stop it first", folder.display())]
    Locked {
        /// The folder.
        folder: PathBuf,
    },
    /// A file that must be there is not.
    #[error(
        "`{file}` is missing from the data folder; move the folder away, \
         start with an empty one, and replace this member"
    )]
    Missing {
        /// Missing file.
        file: String,
    },
    /// A record is whole, yet it can't be decoded.
    #[error("`{file}` holds a record of another version at byte {offset}; start that version")]
    Unreadable {
        /// File with the record.
        file: String,
        /// Where the record starts.
        offset: u64,
    },
}

impl Error {
    /// Error of the file system while it worked on `file`.
    pub(super) fn of(file: &str, source: io::Error) -> Self {
        let file = file.to_owned();
        match source.kind() {
            io::ErrorKind::StorageFull | io::ErrorKind::QuotaExceeded => Self::Full { file },
            _ => Self::Disk { file, source },
        }
    }
}
