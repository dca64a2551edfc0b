use std::collections::BTreeMap;
use std::time::Duration;

use async_std::channel::Sender;

use crate::balance;
use crate::catalog;
use crate::claim;
use crate::config::Version;
use crate::id::NodeId;
use crate::id::ServiceId;
use crate::id::UpstreamId;
use crate::poison;
use crate::quorum;
use crate::quota;
use crate::reach;
use crate::registry;
use crate::wire::Verdict;

use super::Status;

/// Input of the control thread.
#[derive(Debug)]
pub enum Input {
    /// An upstream announced itself to this entry; the sender takes the answer.
    Announce(registry::Announcement, Sender<Result<(), String>>),
    /// Announcement by an upstream to a control, to be replicated in the log; the sender takes
    /// the answer.
    Catalog(catalog::Action, Sender<Result<(), String>>),
    /// Change of the quorum's membership; the sender takes the answer.
    ChangeMembers(quorum::Change, Sender<Result<u64, String>>),
    /// Request for a claim, and the time budget for its answer, which the sender takes.
    Claim(claim::Ticket, claim::Request, Duration, Sender<ClaimDecision>),
    /// Outcome of a request whose claim was granted; `None` if it certainly did not run.
    ClaimEnd(claim::Ticket, Option<claim::Outcome>),
    /// Withdraw this entry from the lists given to callers.
    Drain,
    /// Encoded frame from another process.
    Frame(NodeId, Vec<u8>),
    /// Ages of the requests that have waited unusually long for an upstream's first byte.
    Overdue(ServiceId, UpstreamId, Vec<Duration>),
    /// What this entry saw of requests under which upstreams end.
    Poison(poison::Evidence),
    /// Result of a probe of an upstream.
    Probed {
        /// Whether it reports that it is draining; `None` if it did not answer.
        draining: Option<bool>,
        /// Whether it reports that it is healthy.
        healthy: bool,
        /// Service of the upstream.
        service: ServiceId,
        /// Upstream that was probed.
        upstream: UpstreamId,
    },
    /// Quota that this entry requests; the sender takes what was granted.
    Quota(quota::Demand, Sender<quota::Grant>),
    /// Which services this entry can't reach, and which it reaches as a control asked.
    Reach(BTreeMap<ServiceId, reach::Verdict>),
    /// Request for the newest configuration. The sender takes it; the outer `None` if it can't
    /// be determined, the inner one if there is no configuration.
    ReadConfiguration(Sender<Option<Option<Version>>>),
    /// The settings were reloaded with these seeds.
    Seeds(Vec<NodeId>),
    /// Request for the status of this process, for operators.
    Status(Sender<Status>),
    /// The process stops: announce it to the fleet and end the control thread.
    Stop,
    /// Configuration submitted by an operator; the sender takes the verdict.
    Submit(Version, Sender<Verdict>),
    /// An upstream named another limit than this entry knew, or none any more.
    UpstreamLimit(UpstreamId, Option<balance::Limit>),
    /// A request began a trial of an upstream.
    TrialBegan(ServiceId, UpstreamId),
    /// Wakes the control thread to handle request outcomes at once.
    Wake,
}

/// Answer to a claim request.
#[derive(Clone, Debug, PartialEq)]
pub enum ClaimDecision {
    /// The request must not be dispatched; the caller gets this answer.
    Answer(claim::Answer),
    /// The request may be dispatched.
    Granted,
    /// The request must not be dispatched and is refused as not run, to be retried after this
    /// time.
    Refused(Duration),
}
