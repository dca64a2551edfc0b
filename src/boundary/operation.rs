//! What a process is asked for beside traffic, and what came of it.

use std::net::SocketAddr;
use std::time::Duration;

use compact_str::CompactString;

use crate::catalog;
use crate::config::Version;
use crate::id::DomainId;
use crate::id::UpstreamId;

/// What somebody outside asks of a process, beside traffic.
#[derive(Clone, Debug, PartialEq)]
pub enum Operation {
    /// An upstream says how it is.
    Announce(Box<catalog::Change>),
    /// A caller in a failure domain asks which entries to use.
    ListEntries(DomainId),
    /// An upstream says that it is gone.
    Leave(UpstreamId),
    /// An operator asks for the newest configuration.
    ReadConfiguration,
    /// Somebody asks whether this process takes traffic.
    CheckReadiness,
    /// An operator submits a configuration.
    SubmitConfiguration(Version),
}

/// What came of an order.
#[derive(Clone, Debug, PartialEq)]
pub enum Reply {
    /// The announcement counts; later ones may go to the address, if there is one.
    Announced(Option<SocketAddr>),
    /// It could not be confirmed in time; ask again, perhaps elsewhere.
    Unavailable(CompactString),
    /// The newest configuration; `None` where there is none yet.
    Configuration(Option<Version>),
    /// Entries to use, and for how long.
    Entries(Vec<SocketAddr>, Duration),
    /// Whether this process takes traffic.
    Readiness(bool),
    /// The configuration was accepted, or overtaken by a higher one.
    Submitted,
}
