use std::collections::BTreeMap;

use serde::Serialize;

use crate::config::Standing;
use crate::config::Version;
use crate::fleet;
use crate::health;
use crate::id::ConfigNumber;
use crate::id::DomainId;
use crate::id::NodeId;
use crate::id::ServiceId;
use crate::id::SubmissionId;
use crate::id::UpstreamId;
use crate::link;
use crate::link::Transport;
use crate::quorum;
use crate::traffic::Proxy;

/// Status of a process, for operators.
#[derive(Clone, Debug, Serialize)]
pub struct Status {
    /// Id of the process.
    pub id: NodeId,
    /// Configuration in force.
    pub configuration: Option<Configuration>,
    /// Whether it may serve callers.
    pub standing: Standing,
    /// Requests in flight.
    pub in_flight: usize,
    /// Claims that control has not confirmed yet.
    pub open_claims: usize,
    /// Request outcomes dropped because the control thread was too busy.
    pub lost_outcomes: u64,
    /// Links to other processes.
    pub links: Option<link::Status>,
    /// Members of the fleet.
    pub members: Vec<Member>,
    /// Upstreams by service.
    pub services: BTreeMap<ServiceId, Vec<Upstream>>,
    /// Queued requests by service.
    pub queues: BTreeMap<ServiceId, usize>,
    /// The replicated log, on a control.
    pub control: Option<Control>,
}

/// A configuration in force.
#[derive(Clone, Debug, Serialize)]
pub struct Configuration {
    /// Number of the configuration.
    pub number: ConfigNumber,
    /// Submission that it came from.
    pub submission: SubmissionId,
}

/// Status of the replicated log on a control.
#[derive(Clone, Debug, Serialize)]
pub struct Control {
    /// Stored idempotency keys.
    pub claims: usize,
    /// State of the log and its members.
    pub log: Option<quorum::Status>,
    /// Reason why the log stopped on this control.
    pub stopped: Option<String>,
}

/// A member of the fleet.
#[derive(Clone, Debug, Serialize)]
pub struct Member {
    /// Its failure domain.
    pub domain: DomainId,
    /// Id of the member.
    pub id: NodeId,
    /// Whether it serves callers.
    pub state: fleet::State,
    /// Whether it is considered alive.
    pub status: fleet::Status,
}

/// Status of an upstream.
#[derive(Clone, Debug, Serialize)]
pub struct Upstream {
    /// Whether it may get new requests by its lease and the state that it announced.
    pub usable: bool,
    /// Id of the upstream.
    pub upstream: UpstreamId,
    /// Health verdict of this process.
    pub verdict: health::Status,
}

impl Status {
    pub(super) fn of(report: Report, proxy: &Proxy, transport: &dyn Transport) -> Self {
        let queues = proxy.services().into_iter();
        Self {
            id: report.id,
            configuration: report.configuration,
            standing: report.standing,
            in_flight: proxy.in_flight.load(std::sync::atomic::Ordering::Relaxed),
            open_claims: report.open_claims,
            lost_outcomes: proxy.lost(),
            links: transport.status(),
            members: report.members,
            services: report.services,
            queues: queues.map(|service| (service.name.clone(), service.queue.len())).collect(),
            control: report.control,
        }
    }
}

/// Part of the status that comes from the control state.
#[derive(Debug)]
pub struct Report {
    /// Configuration in force.
    pub configuration: Option<Configuration>,
    /// State of the log, at a control.
    pub control: Option<Control>,
    /// Id of the process.
    pub id: NodeId,
    /// Other processes of a fleet of peers.
    pub members: Vec<Member>,
    /// Claims that control has not confirmed yet.
    pub open_claims: usize,
    /// Upstreams by service.
    pub services: BTreeMap<ServiceId, Vec<Upstream>>,
    /// Whether the process may serve callers.
    pub standing: Standing,
}

impl Configuration {
    pub(crate) fn of(version: &Version) -> Self {
        Self { number: version.number, submission: version.submission.clone() }
    }
}

impl Member {
    pub(super) fn of((record, status): (&fleet::Record, fleet::Status)) -> Self {
        Self {
            domain: record.meta.domain.clone(),
            id: record.id.clone(),
            state: record.meta.state,
            status,
        }
    }
}
