//! Outputs of a registry.

use std::net::SocketAddr;
use std::time::Duration;

use thiserror::Error;

use crate::id::Incarnation;
use crate::id::NodeId;
use crate::id::UpstreamId;
use crate::registry::Message;
use crate::registry::State;

/// Action or notification of a registry.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Output {
    /// An announcement was accepted. This is the answer to the upstream.
    Accepted {
        /// Entry that tracks its lease, and the address for renewals.
        home: Option<(NodeId, SocketAddr)>,
        /// Time after which to renew the lease.
        renew_after: Duration,
        /// The upstream.
        upstream: UpstreamId,
    },
    /// An upstream is new, or its incarnation, state or figures changed.
    Changed {
        /// Incarnation of the upstream.
        incarnation: Incarnation,
        /// New state of the upstream.
        state: State,
        /// The upstream.
        upstream: UpstreamId,
    },
    /// This entry became the home of a known upstream.
    Moved(UpstreamId),
    /// Probe an upstream to learn whether it answers and whether it drains.
    Probe {
        /// Address that accepts requests.
        address: SocketAddr,
        /// The upstream.
        upstream: UpstreamId,
    },
    /// An announcement was refused. This is the answer to the upstream.
    Refused {
        /// Reason.
        refusal: Refusal,
        /// The upstream.
        upstream: UpstreamId,
    },
    /// A message to send.
    Send {
        /// Receiver.
        to: NodeId,
        /// The message.
        message: Message,
    },
}

/// Why an announcement was refused.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum Refusal {
    /// Two processes use the same name and incarnation.
    #[error("upstream `{upstream}` is announced from `{address}` in the same incarnation")]
    Duplicate {
        /// Address of the other process.
        address: SocketAddr,
        /// The name.
        upstream: UpstreamId,
    },
    /// A draining upstream cannot become ready again in the same incarnation.
    #[error("upstream `{upstream}` is draining; it needs a new incarnation to come back")]
    Draining {
        /// The name.
        upstream: UpstreamId,
    },
    /// A newer incarnation is known.
    #[error("upstream `{upstream}` is known in incarnation `{known}`")]
    Superseded {
        /// The newer incarnation.
        known: Incarnation,
        /// The name.
        upstream: UpstreamId,
    },
    /// A field of the announcement has an invalid value.
    #[error("announcement of upstream `{upstream}` has a wrong `{field}`")]
    Invalid {
        /// The field.
        field: &'static str,
        /// The name.
        upstream: UpstreamId,
    },
}
