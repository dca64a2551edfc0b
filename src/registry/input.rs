//! Inputs of a registry.

use std::collections::BTreeSet;

use crate::id::Incarnation;
use crate::id::NodeId;
use crate::id::UpstreamId;
use crate::registry::Announcement;
use crate::registry::Entry;
use crate::registry::Message;

/// Event that a registry handles.
#[derive(Clone, Debug)]
pub enum Input {
    /// An upstream announced itself or renewed its lease here.
    Announce(Announcement),
    /// An upstream answered a request or a probe of this entry.
    Answered {
        /// Whether the answer said that it is draining.
        draining: bool,
        /// Its incarnation, if the answer names it.
        incarnation: Option<Incarnation>,
        /// The upstream.
        upstream: UpstreamId,
    },
    /// The live entries changed. The list includes this one.
    Entries(Vec<Entry>),
    /// A message arrived.
    Receive {
        /// Sender, taken from its certificate.
        from: NodeId,
        /// The message.
        message: Message,
    },
    /// Time has passed; due at least every [`crate::registry::Registry::TICK`].
    Tick {
        /// Result of [`crate::fleet::Member::in_touch`].
        in_touch: bool,
    },
    /// Upstreams that this entry sends work to. Only these are probed; without this input, all
    /// upstreams are.
    Watch(BTreeSet<UpstreamId>),
}
