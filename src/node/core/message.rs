//! Inputs and outputs of the control state.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use compact_str::CompactString;

use crate::balance;
use crate::catalog;
use crate::claim;
use crate::clock::Moment;
use crate::config::Version;
use crate::health;
use crate::id::NodeId;
use crate::id::ServiceId;
use crate::id::UpstreamId;
use crate::node::input::ClaimDecision;
use crate::poison;
use crate::quorum;
use crate::quorum::Record;
use crate::quota;
use crate::reach;
use crate::registry;
use crate::timeline::Event;
use crate::wire::Frame;
use crate::wire::Verdict;

/// Input of the control state.
#[derive(Debug)]
pub enum Input {
    /// An upstream announced itself to this entry.
    Announce(u64, registry::Announcement),
    /// Requests received from callers and bytes relayed since the last such input.
    Throughput(u32, u64),
    /// Announcement by an upstream to a control, to be replicated in the log.
    Catalog(u64, catalog::Action),
    /// Change of the quorum's membership.
    ChangeMembers(u64, quorum::Change),
    /// A request needs a claim on its idempotency key, by the deadline given.
    Claim(claim::Ticket, claim::Request, Moment),
    /// Outcome of a request whose claim was granted; `None` if it certainly did not run.
    ClaimEnd(claim::Ticket, Option<claim::Outcome>),
    /// Withdraw this entry from the lists given to callers.
    Drain,
    /// A frame arrived from another process.
    Frame(NodeId, Frame),
    /// Result and latency of a request to an upstream.
    Outcome(ServiceId, UpstreamId, health::Kind, Duration),
    /// Ages of the requests that an upstream has left unanswered for unusually long.
    Overdue(ServiceId, UpstreamId, Vec<Duration>),
    /// What this entry saw of requests under which upstreams end.
    Poison(poison::Evidence),
    /// Result of a probe: whether the upstream is draining, `None` without an answer, and
    /// whether it is healthy.
    Probed(ServiceId, UpstreamId, Option<bool>, bool),
    /// Quota that this entry requests.
    Quota(u64, quota::Demand),
    /// Which services this entry can't reach, and which it reaches as a control asked.
    Reach(BTreeMap<ServiceId, reach::Verdict>),
    /// Request for the newest configuration.
    ReadConfiguration(u64),
    /// The settings were reloaded with these seeds.
    Seeds(Vec<NodeId>),
    /// An upstream named another limit than this entry knew, or none any more.
    UpstreamLimit(UpstreamId, Option<balance::Limit>),
    /// The process stops and announces that it leaves the fleet.
    Stop,
    /// Configuration submitted by an operator.
    Submit(u64, Version),
    /// Records up to this number are synced to disk.
    Synced(u64),
    /// Time has passed.
    Tick,
    /// A request began a trial of an upstream.
    TrialBegan(ServiceId, UpstreamId),
    /// Result and latency of a trial request to an upstream.
    TrialOutcome(ServiceId, UpstreamId, health::Kind, Duration),
}

/// Output of the control state. Outputs are carried out in the order returned.
#[derive(Debug)]
pub enum Output {
    /// Answer to an announcement.
    Announced(u64, Result<(), String>),
    /// Configuration now in force, to be stored on disk.
    Apply(Version),
    /// Answer to a change of the quorum's membership.
    MembersChanged(u64, Result<u64, String>),
    /// Answer to a claim request.
    ClaimDecision(claim::Ticket, ClaimDecision),
    /// Event for the time line, without its stamp.
    Event(Event),
    /// Quota that this entry holds from now on.
    QuotaGranted(u64, quota::Grant),
    /// Records to write and sync; answered by [`Input::Synced`].
    Persist(u64, Vec<Record>),
    /// Probe to send to an upstream; answered by [`Input::Probed`].
    Probe {
        /// Address of the upstream.
        address: SocketAddr,
        /// Path of the health report.
        path: CompactString,
        /// Service of the upstream.
        service: ServiceId,
        /// Upstream to probe.
        upstream: UpstreamId,
    },
    /// Newest configuration, in answer to [`Input::ReadConfiguration`]; the outer `None` if it
    /// can't be determined, the inner one if there is none.
    Configuration(u64, Option<Option<Version>>),
    /// Frame for another process, with its address if known.
    Send(NodeId, Option<SocketAddr>, Frame),
    /// Answer to a submitted configuration.
    Verdict(u64, Verdict),
}
