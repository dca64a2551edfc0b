//! Operations that a process carries out besides proxying traffic, and their replies.

use std::net::SocketAddr;
use std::time::Duration;

use compact_str::CompactString;

use crate::catalog;
use crate::config::Version;
use crate::id::DomainId;
use crate::id::UpstreamId;

/// A request to the process itself, as opposed to proxied traffic.
#[derive(Clone, Debug, PartialEq)]
pub enum Operation {
    /// An upstream announces itself.
    Announce(Box<catalog::Change>),
    /// A caller in the failure domain asks which entries to use.
    ListEntries(DomainId),
    /// An upstream reports that it has left.
    Leave(UpstreamId),
    /// An operator reads the newest configuration.
    ReadConfiguration,
    /// A probe asks whether this process accepts traffic.
    CheckReadiness,
    /// An operator submits a configuration.
    SubmitConfiguration(Version),
}

impl Operation {
    /// The upstream that reports an event of its own.
    pub fn upstream(&self) -> Option<&UpstreamId> {
        match self {
            Self::Announce(change) => Some(&change.announcement.upstream),
            Self::Leave(upstream) => Some(upstream),
            _ => None,
        }
    }
}

/// Result of an operation.
#[derive(Clone, Debug, PartialEq)]
pub enum Reply {
    /// The announcement was accepted. Later ones may be sent to the address, if there is one.
    Announced(Option<SocketAddr>),
    /// The operation could not be confirmed in time and should be retried, perhaps elsewhere.
    Unavailable(CompactString),
    /// The newest configuration; `None` if there is none yet.
    Configuration(Option<Version>),
    /// Entries to use, and the time for which the list is valid.
    Entries(Vec<SocketAddr>, Duration),
    /// Whether this process accepts traffic.
    Readiness(bool),
    /// The configuration was accepted, or superseded by a higher version.
    Submitted,
}
