//! Inputs and outputs of a subscriber.

use std::collections::BTreeSet;
use std::time::Duration;

use super::Entry;
use super::Message;
use super::Selection;
use super::Tallies;
use super::Update;
use super::transfer::Part;
use crate::config::Version;
use crate::id::NodeId;
use crate::id::ServiceId;
use crate::id::UpstreamId;
use crate::poison;

/// Event that a subscriber handles.
#[derive(Clone, Debug)]
pub enum Input {
    /// Update from a control, polled or pushed.
    Update(NodeId, Box<Update>),
    /// Part of a change of the configuration.
    Part(Part),
    /// Time has passed.
    Tick,
}

/// Action that a subscriber requests.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Put a configuration in force, which is newer than all before it.
    Configure(Version),
    /// Tell whether this entry reaches these services.
    Ask(BTreeSet<ServiceId>),
    /// Advertise these entries to callers.
    Advertise(Vec<Entry>),
    /// Record the results that callers of other entries received.
    Record(Tallies),
    /// Treat requests by this list.
    Quarantine(poison::List),
    /// Send a message to a control.
    Send(NodeId, Message),
    /// A control did not answer a poll or send a part for this long, and another one is polled.
    Unanswered(NodeId, Duration),
    /// Apply an update, which is at least as new as all before it.
    Apply(Box<Update>),
    /// Forget the upstreams that are not in this selection.
    Narrow(Selection),
    /// Forget all upstreams but these.
    Retain(BTreeSet<UpstreamId>),
}
