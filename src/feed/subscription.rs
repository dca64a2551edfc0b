//! Entry that polls a control, as the control knows it.

use std::collections::BTreeSet;
use std::time::Duration;

use super::Entry;
use super::Selection;
use super::Tallies;
use super::transfer::Offer;
use crate::clock::Moment;
use crate::config::Head;
use crate::id::Index;
use crate::id::ServiceId;

/// How long an entry without a poll is still listed: two polls and a lost one. Callers would
/// try a dead entry in vain.
const EXPIRY: Duration = Duration::from_millis(1600);
/// Time without requests after which an entry that is not advertised gets only urgent tallies,
/// and only when it polls. In a fleet of 277 entries, two thirds have no callers.
const IDLE_TIMEOUT: Duration = Duration::from_secs(3);

/// Entry that polls a control.
#[derive(Clone, Debug)]
pub(super) struct Subscription {
    /// Services that the entry was last asked about.
    pub(super) asked: BTreeSet<ServiceId>,
    /// Version that the entry holds, or will hold once it gets what was sent.
    pub(super) configuration: Option<Head>,
    /// When the entry last reported requests.
    pub(super) last_request_at: Option<Moment>,
    pub(super) entry: Entry,
    /// Whether the entry is receiving a change, so that it gets no offer until it polls again.
    pub(super) is_downloading: bool,
    /// Whether the entry is loading its upstreams, page by page.
    pub(super) is_loading: bool,
    pub(super) last_poll_at: Moment,
    pub(super) known: Index,
    pub(super) selection: Selection,
    pub(super) tallies: Tallies,
}

impl Subscription {
    /// Whether the entry has fallen silent.
    pub(super) fn is_expired(&self, now: Moment) -> bool {
        now >= self.last_poll_at + EXPIRY
    }

    /// Whether the entry got requests recently.
    pub(super) fn is_active(&self, now: Moment) -> bool {
        self.last_request_at.is_some_and(|at| now < at + IDLE_TIMEOUT)
    }

    /// Records that the entry is sent an offer.
    pub(super) fn note_offer(&mut self, offer: &Offer) {
        if offer.is_complete() {
            self.configuration = Some(offer.change.head);
        } else {
            self.is_downloading = true;
        }
    }
}
