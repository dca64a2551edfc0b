//! Events as they are written to event files, one JSON object a line.

use std::collections::BTreeMap;

use compact_str::CompactString;
use serde::Deserialize;
use serde::Serialize;

use crate::id::ConfigNumber;
use crate::id::Incarnation;
use crate::id::NodeId;
use crate::id::RequestId;
use crate::id::ServiceId;
use crate::id::Term;
use crate::id::UpstreamId;
use crate::timeline::Kind;
use crate::timeline::Stamp;

/// Event in one process, with the ids that relate it to other events.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Event {
    /// Position in the causal order.
    pub stamp: Stamp,
    /// Process that recorded the event.
    pub vm: NodeId,
    /// Kind of the event.
    pub kind: Kind,
    /// Number of the configuration concerned.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub configuration: Option<ConfigNumber>,
    /// Incarnation of the member or upstream concerned.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub incarnation: Option<Incarnation>,
    /// Other process concerned.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub peer: Option<NodeId>,
    /// Request concerned.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub request: Option<RequestId>,
    /// Service concerned.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub service: Option<ServiceId>,
    /// Election term concerned.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub term: Option<Term>,
    /// Upstream concerned.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub upstream: Option<UpstreamId>,
    /// Additional short texts by name.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub detail: BTreeMap<CompactString, CompactString>,
}

impl Event {
    /// Creates an event without ids and details.
    pub fn new(stamp: Stamp, vm: NodeId, kind: Kind) -> Self {
        Self {
            stamp,
            vm,
            kind,
            configuration: None,
            incarnation: None,
            peer: None,
            request: None,
            service: None,
            term: None,
            upstream: None,
            detail: BTreeMap::new(),
        }
    }

    /// Adds the configuration concerned.
    pub fn configuration(mut self, number: ConfigNumber) -> Self {
        self.configuration = Some(number);
        self
    }

    /// Adds a short text under `name`.
    pub fn detail(mut self, name: &str, text: impl AsRef<str>) -> Self {
        self.detail.insert(name.into(), CompactString::new(text));
        self
    }

    /// Adds the incarnation concerned.
    pub fn incarnation(mut self, incarnation: Incarnation) -> Self {
        self.incarnation = Some(incarnation);
        self
    }

    /// Adds the other process concerned.
    pub fn peer(mut self, peer: NodeId) -> Self {
        self.peer = Some(peer);
        self
    }

    /// Adds the request concerned.
    pub fn request(mut self, request: RequestId) -> Self {
        self.request = Some(request);
        self
    }

    /// Adds the service concerned.
    pub fn service(mut self, service: ServiceId) -> Self {
        self.service = Some(service);
        self
    }

    /// Adds the election term concerned.
    pub fn term(mut self, term: Term) -> Self {
        self.term = Some(term);
        self
    }

    /// Adds the upstream concerned.
    pub fn upstream(mut self, upstream: UpstreamId) -> Self {
        self.upstream = Some(upstream);
        self
    }
}
