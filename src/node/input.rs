use std::time::Duration;

use async_std::channel::Sender;

use crate::catalog;
use crate::claim;
use crate::config::Version;
use crate::id::NodeId;
use crate::id::ServiceId;
use crate::id::UpstreamId;
use crate::quorum;
use crate::quota;
use crate::registry;
use crate::wire::Verdict;

use super::Status;

/// What the control thread of a process is told.
#[derive(Debug)]
pub enum Input {
    /// An upstream announced itself here; the sender takes the answer.
    Announce(registry::Announcement, Sender<Result<(), String>>),
    /// What an upstream says of itself to a control; the sender takes the answer.
    Catalog(catalog::Action, Sender<Result<(), String>>),
    /// A change of the controls' membership; the sender takes the answer.
    Change(quorum::Change, Sender<Result<u64, String>>),
    /// A request's claim; the sender takes the end of the question.
    Claim(claim::Ticket, claim::Request, Duration, Sender<Claimed>),
    /// What became of a granted claim; `None` where it is proved not to have run.
    ClaimEnd(claim::Ticket, Option<claim::Outcome>),
    /// Stop giving this process to callers; it ends when all is done.
    Drain,
    /// A frame of another process.
    Frame(NodeId, Vec<u8>),
    /// Requests that wait unusually long for an upstream's first byte.
    Overdue(ServiceId, UpstreamId, Vec<Duration>),
    /// An upstream's own report, asked of it by this process.
    Probed {
        /// Whether it says that it is leaving; `None` where it gave no answer.
        draining: Option<bool>,
        /// What it says of its health.
        healthy: bool,
        /// Service of the upstream.
        service: ServiceId,
        /// The upstream.
        upstream: UpstreamId,
    },
    /// This entry wants other parts of allowances; the sender takes what it holds then.
    Quota(quota::Demand, Sender<quota::Grant>),
    /// Somebody asks for the newest configuration; `None` where it can't be told.
    Read(Sender<Option<Option<Version>>>),
    /// The seeds were exchanged.
    Seeds(Vec<NodeId>),
    /// What this process knows; for operators.
    Status(Sender<Status>),
    /// Serving is over: tell the others, and end the control thread.
    Stop,
    /// A configuration that an operator submitted here.
    Submit(Version, Sender<Verdict>),
    /// Outcomes were noted that should not wait.
    Wake,
}

/// End of a question for a claim.
#[derive(Clone, Debug, PartialEq)]
pub enum Claimed {
    /// Not to be dispatched; the caller is told this.
    Answer(claim::Answer),
    /// To be dispatched.
    Granted,
    /// Not to be dispatched, and refused as not run.
    Refused(Duration),
}
