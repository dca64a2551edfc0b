//! What a merge could not take in, or can't vouch for.

use std::fmt::Display;
use std::fmt::Formatter;
use std::path::PathBuf;
use std::time::Duration;

use crate::id::NodeId;

/// One thing that a reader of merged events has to know.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Note {
    /// Stamps in a file went back; order against other processes is uncertain there.
    Backwards {
        /// By how much.
        by: Duration,
        /// Line, from 1.
        line: usize,
        /// The file.
        path: PathBuf,
    },
    /// A line is no event, and not the last.
    Damaged {
        /// Line, from 1.
        line: usize,
        /// The file.
        path: PathBuf,
    },
    /// Events name a process whose own events are not there.
    Missing {
        /// Events that name it.
        events: usize,
        /// The process.
        vm: NodeId,
    },
    /// The last line is cut short: the process died or still writes.
    Truncated {
        /// The file.
        path: PathBuf,
    },
    /// A file could not be read.
    Unreadable {
        /// The file.
        path: PathBuf,
        /// Why.
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
