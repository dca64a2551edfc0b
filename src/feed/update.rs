//! Update from a control.

use std::collections::BTreeSet;

use serde::Deserialize;
use serde::Serialize;

use super::Control;
use super::Entry;
use super::Selection;
use super::Tallies;
use super::transfer::Offer;
use crate::catalog::Delta;
use crate::id::Index;
use crate::id::ServiceId;
use crate::poison;

/// Changes since the log index that an entry knows.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Update {
    /// Log index up to which the control has applied all changes.
    pub applied: Index,
    /// Log index that the changes start from. For an entry that knows less, changes are missing.
    pub base: Index,
    /// Change to the configuration in force, if the entry holds another one.
    pub configuration: Option<Offer>,
    /// All controls.
    pub controls: Vec<Control>,
    /// Services that some entry can't reach. This entry is asked to tell whether it does.
    pub doubted: BTreeSet<ServiceId>,
    /// Number of entries that are advertised to callers.
    pub entries: usize,
    /// Whether the control has heard from a leader recently. If so, no change that this update
    /// lacks has been acknowledged to anybody.
    pub fresh: bool,
    /// Whether more changes to upstreams are to be polled for.
    pub has_more: bool,
    /// Whether the load is known, so that the entries advertised to callers change little.
    pub is_settled: bool,
    /// Upstreams to follow from now on, if they are others than before.
    pub follow: Option<Selection>,
    /// Whether the entry loads all upstreams that it follows anew, from this update on.
    pub is_load: bool,
    /// Log index up to which the entry knows all changes to upstreams once it has applied this
    /// update.
    pub known: Index,
    /// Entries to advertise to callers, if the list differs from the one that the entry knows.
    pub named: Option<Vec<Entry>>,
    /// Quarantined requests, all of them if the entry knows others.
    pub quarantine: poison::Report,
    /// Digest of the selection whose upstreams the changes are about.
    pub selection: u64,
    /// Number of all serving entries. Those that are not advertised may get requests as well.
    pub serving: usize,
    /// Sequence number of the poll; 0 in a push.
    pub sequence: u64,
    /// Results that callers of other entries received since the last update to this entry.
    pub tallies: Tallies,
    /// Changes to upstreams.
    pub upstreams: Delta,
}
