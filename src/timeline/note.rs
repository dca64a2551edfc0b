//! Notes about missing input and uncertain order in a merge.

use std::fmt::Display;
use std::fmt::Formatter;
use std::path::PathBuf;
use std::time::Duration;

use crate::id::NodeId;

/// Limitation of a merge that a reader of its events has to know.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Note {
    /// A stamp in a file is lower than the one before, so the order relative to other processes
    /// is uncertain there.
    Backwards {
        /// Difference of the wall-clock times of the two stamps.
        by: Duration,
        /// Line number, starting at 1.
        line: usize,
        /// Path of the file.
        path: PathBuf,
    },
    /// A line is not a valid event. An incomplete last line is [`Self::Truncated`] instead.
    Damaged {
        /// Line number, starting at 1.
        line: usize,
        /// Path of the file.
        path: PathBuf,
    },
    /// Events name a process as peer of which there are no events.
    Missing {
        /// Number of events that name the process.
        events: usize,
        /// Process without events.
        vm: NodeId,
    },
    /// The last line is incomplete, because the process crashed or is still writing.
    Truncated {
        /// Path of the file.
        path: PathBuf,
    },
    /// A file could not be read.
    Unreadable {
        /// Path of the file.
        path: PathBuf,
        /// Error of the operating system.
        reason: String,
    },
}

impl Display for Note {
    fn fmt(&self, formatter: &mut Formatter) -> std::fmt::Result {
        match self {
            Self::Backwards { by, line, path } => write!(
                formatter,
                "stamps in `{}` go back by {by:?} at line {line}; order against others is uncertain there",
                path.display()
            ),
            Self::Damaged { line, path } => {
                write!(formatter, "line {line} of `{}` is no event; left out", path.display())
            }
            Self::Missing { events, vm } => {
                write!(formatter, "no events of `{vm}`, which {events} events name")
            }
            Self::Truncated { path } => {
                write!(formatter, "last line of `{}` is cut short; left out", path.display())
            }
            Self::Unreadable { path, reason } => {
                write!(formatter, "could not read `{}`: {reason}", path.display())
            }
        }
    }
}
