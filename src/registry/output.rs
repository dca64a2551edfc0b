//! What a registry wants done.

use std::net::SocketAddr;
use std::time::Duration;

use thiserror::Error;

use crate::id::Incarnation;
use crate::id::NodeId;
use crate::id::UpstreamId;
use crate::registry::Message;
use crate::registry::State;

/// One thing that a registry wants done or known.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Output {
    /// An announcement was taken; the answer to the upstream.
    Accepted {
        /// Entry that keeps its lease, and where to renew it.
        home: Option<(NodeId, SocketAddr)>,
        /// When to renew it.
        renew_after: Duration,
        /// The upstream.
        upstream: UpstreamId,
    },
    /// An upstream is new, or its incarnation, state or figures changed.
    Changed {
        /// Its incarnation.
        incarnation: Incarnation,
        /// Its state now.
        state: State,
        /// The upstream.
        upstream: UpstreamId,
    },
    /// This entry became the home of an upstream that it knew.
    Moved(UpstreamId),
    /// Ask an upstream whether it is there and whether it drains.
    Probe {
        /// Where it takes requests.
        address: SocketAddr,
        /// The upstream.
        upstream: UpstreamId,
    },
    /// An announcement was refused; the answer to the upstream.
    Refused {
        /// Why.
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
    /// Two processes use one name and incarnation.
    #[error("upstream `{upstream}` is announced from `{address}` in the same incarnation")]
    Duplicate {
        /// Address of the other one.
        address: SocketAddr,
        /// The name.
        upstream: UpstreamId,
    },
    /// An upstream that drains can't come back in the same incarnation.
    #[error("upstream `{upstream}` is draining; it needs a new incarnation to come back")]
    Draining {
        /// The name.
        upstream: UpstreamId,
    },
    /// A newer incarnation is known.
    #[error("upstream `{upstream}` is known in incarnation `{known}`")]
    Superseded {
        /// The newer one.
        known: Incarnation,
        /// The name.
        upstream: UpstreamId,
    },
    /// The announcement's figures make no sense.
    #[error("announcement of upstream `{upstream}` has a wrong `{field}`")]
    Wrong {
        /// The field.
        field: &'static str,
        /// The name.
        upstream: UpstreamId,
    },
}
