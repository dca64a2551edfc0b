//! Entries that poll other controls.

use std::collections::BTreeMap;
use std::time::Duration;

use super::Entry;
use super::Report;
use super::entry;
use crate::clock::Moment;
use crate::id::NodeId;

/// How long an entry reported by another control is listed without a new report.
const EXPIRY: Duration = Duration::from_secs(4);

/// Last reports of the other controls.
#[derive(Clone, Debug, Default)]
pub(super) struct Reports(BTreeMap<NodeId, Held>);

/// Last report of one control.
#[derive(Clone, Debug)]
struct Held {
    at: Moment,
    digest: u64,
    entries: Vec<Entry>,
}

/// Effect of a report.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Effect {
    /// The entries are others than before.
    Changed,
    /// The entries that the report is about are not known here.
    Unknown,
    Unchanged,
}

impl Reports {
    /// Records a report of a control.
    pub(super) fn record(&mut self, now: Moment, from: &NodeId, report: Report) -> Effect {
        let held = self.0.get_mut(from).filter(|held| held.digest == report.digest);
        if let Some(held) = held {
            let is_expired = now >= held.at + EXPIRY;
            held.at = now;
            return if is_expired { Effect::Changed } else { Effect::Unchanged };
        }
        let Some(entries) = report.entries else { return Effect::Unknown };
        let digest = entry::digest(&entries);
        self.0.insert(from.clone(), Held { at: now, digest, entries });
        Effect::Changed
    }

    /// Drops reports that have expired.
    pub(super) fn expire(&mut self, now: Moment) {
        self.0.retain(|_, held| now < held.at + EXPIRY);
    }

    /// Entries in the reports that have not expired; one may be in several.
    pub(super) fn entries(&self, now: Moment) -> impl Iterator<Item = &Entry> {
        let current = self.0.values().filter(move |held| now < held.at + EXPIRY);
        current.flat_map(|held| &held.entries)
    }
}
