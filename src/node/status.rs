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
use crate::quorum;

use super::Transport;
use super::traffic::Proxy;

/// What a process knows, for operators.
#[derive(Clone, Debug, Serialize)]
pub struct Status {
    /// Its name.
    pub id: NodeId,
    /// Configuration in force here.
    pub configuration: Option<Configuration>,
    /// What it may do with callers.
    pub standing: Standing,
    /// Requests in flight.
    pub in_flight: usize,
    /// Claims that control has not confirmed yet.
    pub open_claims: usize,
    /// Outcomes that the control thread was too busy for.
    pub lost_outcomes: u64,
    /// Links to other processes.
    pub links: Option<link::Status>,
    /// Members of the fleet.
    pub members: Vec<Member>,
    /// Upstreams by service.
    pub services: BTreeMap<ServiceId, Vec<Upstream>>,
    /// Requests that wait for their turn, by service.
    pub queues: BTreeMap<ServiceId, usize>,
    /// The replicated log, on a control.
    pub control: Option<Control>,
}

/// A configuration in force.
#[derive(Clone, Debug, Serialize)]
pub struct Configuration {
    /// Its number.
    pub number: ConfigNumber,
    /// The submission that brought it.
    pub submission: SubmissionId,
}

/// A control's part.
#[derive(Clone, Debug, Serialize)]
pub struct Control {
    /// Idempotency keys remembered.
    pub claims: usize,
    /// The log and its members.
    pub log: Option<quorum::Status>,
    /// Why control stopped here, if it did.
    pub stopped: Option<String>,
}

/// A member of the fleet.
#[derive(Clone, Debug, Serialize)]
pub struct Member {
    /// Its failure domain.
    pub domain: DomainId,
    /// Its name.
    pub id: NodeId,
    /// What it does with callers.
    pub state: fleet::State,
    /// What it is taken for.
    pub status: fleet::Status,
}

/// An upstream.
#[derive(Clone, Debug, Serialize)]
pub struct Upstream {
    /// Whether it may get new work, as far as its lease and its own word go.
    pub usable: bool,
    /// Its name.
    pub upstream: UpstreamId,
    /// What this process holds of its health.
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

/// What the control state says of itself.
#[derive(Debug)]
pub(super) struct Report {
    pub(super) configuration: Option<Configuration>,
    pub(super) control: Option<Control>,
    pub(super) id: NodeId,
    pub(super) members: Vec<Member>,
    pub(super) open_claims: usize,
    pub(super) services: BTreeMap<ServiceId, Vec<Upstream>>,
    pub(super) standing: Standing,
}

impl Configuration {
    pub(super) fn of(version: &Version) -> Self {
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
