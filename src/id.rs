//! Aliases for identifiers, so that signatures say what a text or number names.

use compact_str::CompactString;

/// Name of one of our processes, unique in the fleet; what its certificate says.
pub type NodeId = CompactString;
/// Name of one announced upstream instance.
pub type UpstreamId = CompactString;
/// Named set of upstreams.
pub type ServiceId = CompactString;
/// Failure domain, such as `halle-nord`.
pub type DomainId = CompactString;
/// Region: a group of failure domains.
pub type RegionId = CompactString;
/// Whoever sent a request, as fairness counts them.
pub type CallerId = CompactString;
/// Team that owns a caller.
pub type TeamId = CompactString;
/// Name of a rule.
pub type RuleId = CompactString;
/// Class of service that a rule gives a request.
pub type ClassId = CompactString;
/// Identifier of one request, made by the entry that accepted it.
pub type RequestId = CompactString;
/// What makes resends of a submission safe.
pub type SubmissionId = CompactString;
/// Caller's key of a non-idempotent request.
pub type Key = CompactString;
/// Number of a configuration; grows with every accepted one.
pub type ConfigNumber = u64;
/// Restart counter of a process or an upstream: higher is newer.
pub type Incarnation = u64;
/// Election term.
pub type Term = u64;
/// Position in the replicated log, from 1.
pub type Index = u64;
