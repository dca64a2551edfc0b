//! What happens to a registry.

use std::collections::BTreeSet;

use crate::id::Incarnation;
use crate::id::NodeId;
use crate::id::UpstreamId;
use crate::registry::Announcement;
use crate::registry::Entry;
use crate::registry::Message;

/// One thing that happens to a registry.
#[derive(Clone, Debug)]
pub enum Input {
    /// An upstream announced itself or renewed its lease here.
    Announce(Announcement),
    /// An upstream answered a request or a probe of this entry.
    Answered {
        /// Whether it said that it is draining.
        draining: bool,
        /// Its incarnation, where the answer tells.
        incarnation: Option<Incarnation>,
        /// The upstream.
        upstream: UpstreamId,
    },
    /// The live entries, this one included, changed.
    Entries(Vec<Entry>),
    /// A message arrived.
    Receive {
        /// Its sender, as the sender's certificate says.
        from: NodeId,
        /// The message.
        message: Message,
    },
    /// Time has passed; due at least every [`crate::registry::Registry::TICK`].
    Tick {
        /// What [`crate::fleet::Member::in_touch`] says.
        in_touch: bool,
    },
    /// Upstreams that this entry sends work to, which alone are worth probes;
    /// all of them until this is told.
    Watch(BTreeSet<UpstreamId>),
}
